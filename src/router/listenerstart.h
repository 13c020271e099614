#pragma once

#include "http/loop.h"
#include "http/server.h"

#include <functional>
#include <string_view>

/// Opens an instance's listening sockets at its start.
namespace lavenderhall {

/// Calls \a open, which opens the socket of \a listener, until its address is free, and runs the
/// loop between. Returns false if \a isStopped meanwhile. Throws ListenError if no later attempt
/// can succeed.
bool openWhenFree(http::Loop &loop, std::string_view listener, const std::function<void()> &open,
                  const std::function<bool()> &isStopped);

/// Closes \a server of an instance that was stopped during its start, and runs the loop until the
/// requests that callers have sent are answered. \a server may be nullptr.
void closeUnstarted(http::Loop &loop, http::Server *server);

} // namespace lavenderhall
