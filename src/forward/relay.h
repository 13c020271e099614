#pragma once

#include "base/address.h"
#include "base/clock.h"
#include "forward/adapter.h"
#include "forward/notrunstatement.h"
#include "http/client.h"
#include "http/server.h"

#include <functional>
#include <memory>
#include <string>

/// Requests that another instance serves because this one reaches no endpoint.
namespace lavenderhall {

/// How a relayed request ended.
struct RelayResult
{
    enum class Kind {
        Answered, ///< the answer has been passed on to the caller
        NotRun, ///< the other instance has certainly not run it, and another may be asked
        Unknown, ///< it may have run; nothing has been passed on
        Broken, ///< it broke off after a part was passed on, and the caller's connection is closed
    };

    Kind kind = Kind::Unknown;
    AnswerHead head; ///< of the other instance's answer, if one has arrived
    std::string reason; ///< why it does not count, or why none has arrived
    http::UsedConnection usedConnection; ///< to the other instance

    bool operator==(const RelayResult &) const = default;
};

/// HTTP status ("misdirected request") by which an instance tells another one that it reaches no
/// endpoint either and has not run the request. It is never passed on to a caller.
inline constexpr int UnableStatus = 421;

/// Returns the name of \a kind in logs.
const char *toString(RelayResult::Kind kind);

/// One request at another instance, and the answer on its way back.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    using Handler = std::function<void(const RelayResult &result)>;

    /// If the request \a mayHaveRun already, a refusal is not passed on, since it would state that
    /// it has not. An answer counts only if it bears \a requestId.
    Relay(const PlatformAdapter &adapter, http::ExchangePtr exchange, std::string requestId,
          bool mayHaveRun, Handler onEnd)
        : adapter(adapter)
        , exchange(std::move(exchange))
        , requestId(std::move(requestId))
        , mayHaveRun(mayHaveRun)
        , onEnd(std::move(onEnd))
    { }

    /// Sends the request with \a body to \a instance, where it has \a timeLeft.
    void start(http::Client &client, const Address &instance, Millis timeLeft, std::string body);
    /// Ends the relay without a result.
    void cancel();

private:
    void onHead(int status, const http::Headers &headers);
    void onData(std::string_view data);
    void onAnswerEnd();
    void onFailed(const http::CallFailure &failure);
    void end(RelayResult::Kind kind, const std::string &reason);

    const PlatformAdapter &adapter;
    http::ExchangePtr exchange;
    const std::string requestId;
    const bool mayHaveRun;
    Handler onEnd;
    http::CallPtr call;
    http::UsedConnection usedConnection;
    AnswerHead head;
    RunStatement statement = RunStatement::None; ///< of the head
    std::string body;
    bool isStream = false;
    bool isPaused = false;
};

} // namespace lavenderhall
