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

/// Ends \a server, which may be nullptr, of an instance that is stopped during its start: runs the
/// loop until the requests that callers have sent are answered, or for a short time.
void answerAndClose(http::Loop &loop, http::Server *server);

} // namespace lavenderhall
