#include "forward/relay.h"

#include "forward/buffering.h"

#include <utility>

namespace lavenderhall {

namespace {

constexpr Millis ConnectTimeout{300};
constexpr Millis AnswerMargin{40}; ///< the other instance answers in time by itself

} // namespace

const char *toString(RelayResult::Kind kind)
{
    switch (kind) {
    case RelayResult::Kind::Answered:
        return "answered";
    case RelayResult::Kind::NotRun:
        return "not_run";
    case RelayResult::Kind::Unknown:
        return "unknown";
    case RelayResult::Kind::Broken:
        return "broken";
    }
    return "unknown";
}

void Relay::start(http::Client &client, const Address &instance, Millis timeLeft, std::string body)
{
    http::CallRequest outgoing = this->adapter.writeRelayed(this->exchange->request(), timeLeft);
    outgoing.body = std::move(body);
    outgoing.to = instance;
    outgoing.connectTimeout = ConnectTimeout;
    outgoing.headTimeout = timeLeft + AnswerMargin;
    outgoing.requestId = this->requestId;
    outgoing.reuse = http::Reuse::Recent;
    const auto self = this->shared_from_this();
    http::CallHandlers handlers;
    handlers.onHead
        = [self](int status, const http::Headers &headers) { self->onHead(status, headers); };
    handlers.onData = [self](std::string_view data) { self->onData(data); };
    handlers.onEnd = [self] { self->onAnswerEnd(); };
    handlers.onFailed = [self](const http::CallFailure &failure) { self->onFailed(failure); };
    this->call = client.start(std::move(outgoing), std::move(handlers));
    this->usedConnection = this->call->usedConnection();
}

void Relay::cancel()
{
    this->onEnd = nullptr;
    if (this->call)
        std::exchange(this->call, nullptr)->cancel();
}

// Whatever the answer to another request states, this one may be running.
void Relay::onHead(int status, const http::Headers &headers)
{
    this->head = this->adapter.readAnswerHead(status, headers);
    this->statement = instanceStatement(this->head, this->requestId);
    if (this->statement == RunStatement::None)
        return this->onFailed({true, true, false, false, "foreign_answer"});
    if (this->statement == RunStatement::Contradictory)
        return this->onFailed({true, true, false, false, "contradictory_answer"});
    const bool isEventStream
        = http::findHeader(headers, "content-type").starts_with("text/event-stream");
    this->isStream = isEventStream && !promisesNotRun(status);
}

void Relay::onData(std::string_view data)
{
    if (!this->call || !this->onEnd)
        return;
    if (!this->isStream) {
        const std::size_t bytes = this->body.size() + data.size();
        if (bytes <= MaxBufferedBytes && this->exchange->holdAnswer(bytes))
            this->body.append(data);
        else
            this->onFailed({true, true, false, false, "answer too large"});
        return;
    }
    if (!this->exchange->hasBegun()) {
        this->exchange->begin(this->head.status, this->head.headers);
        this->exchange->onDrained([weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (!self || !self->call || !std::exchange(self->isPaused, false))
                return;
            self->call->setReading(true);
        });
    }
    this->exchange->write(data);
    if (this->exchange->backlog() <= PauseBacklogBytes || this->isPaused)
        return;
    this->isPaused = true;
    this->call->setReading(false);
}

// An instance always announces the end of its answers, so an end with the connection is a break.
void Relay::onAnswerEnd()
{
    if (!this->onEnd)
        return;
    const bool isBroken = this->call && this->call->hasEndedByClose();
    this->call = nullptr;
    if (isBroken)
        return this->onFailed({true, true, false, true, "closed by the other instance"});
    const bool isRefusal = this->statement == RunStatement::NotRun;
    if (!isRefusal && promisesNotRun(this->head.status))
        return this->end(RelayResult::Kind::Unknown, "unstated_refusal");
    if (isRefusal && (this->head.status == UnableStatus || this->mayHaveRun))
        return this->end(RelayResult::Kind::NotRun, {});
    if (this->exchange->hasBegun())
        this->exchange->end();
    else
        this->exchange->respond({this->head.status, this->head.headers, std::move(this->body)});
    this->end(RelayResult::Kind::Answered, {});
}

void Relay::onFailed(const http::CallFailure &failure)
{
    if (!this->onEnd)
        return;
    if (this->call && !this->call->isFinished())
        this->call->cancel();
    this->call = nullptr;
    if (!failure.mayHaveBeenSent)
        return this->end(RelayResult::Kind::NotRun, failure.reason);
    if (!this->exchange->hasBegun())
        return this->end(RelayResult::Kind::Unknown, failure.reason);
    this->exchange->abort();
    this->end(RelayResult::Kind::Broken, failure.reason);
}

void Relay::end(RelayResult::Kind kind, const std::string &reason)
{
    const Handler handler = std::exchange(this->onEnd, nullptr);
    if (handler)
        handler({kind, this->head, reason, this->usedConnection});
}

} // namespace lavenderhall
