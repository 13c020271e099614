#pragma once

#include "http/loop.h"
#include "http/message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct lws;
struct lws_vhost;

/// HTTP/1.1 client over libwebsockets with a pool of kept connections.
namespace lavenderhall::http {

/// Whether a call may use a connection that has carried others before.
enum class Reuse {
    Allowed,
    Never, ///< for calls that must not be repeated: a kept connection may be dead unseen
};

struct CallRequest
{
    Address to;
    Method method = Method::Get;
    std::string path; ///< with the query
    Headers headers;
    std::string body;
    Reuse reuse = Reuse::Allowed;
    Millis connectTimeout = std::chrono::milliseconds(500);
    Millis headTimeout = std::chrono::seconds(10); ///< from the start until the answer's head
};

/// Why a call failed.
struct CallFailure
{
    bool maybeSent = false; ///< false only if no byte of the request can have left
    bool headSeen = false;
    bool timedOut = false;
    std::string reason;
};

/// What the caller wants to hear of its call. onEnd and onFailed come last, and only one of them.
struct CallHandlers
{
    std::function<void(int status, const Headers &headers)> onHead;
    std::function<void(std::string_view data)> onData;
    std::function<void()> onEnd;
    std::function<void(const CallFailure &failure)> onFailed;
};

/// One request in progress.
class Call
{
public:
    /// Gives the call up: closes its connection; no handler is called any more.
    void cancel();
    /// Stops or goes on reading from the socket, for backpressure.
    void setReading(bool on);
    bool isFinished() const { return this->finished; }

private:
    friend class Client;

    CallRequest request;
    CallHandlers handlers;
    class Client *client = nullptr;
    lws *wsi = nullptr;
    std::size_t lane = 0;
    std::size_t bodyOffset = 0;
    Timer timer;
    CallFailure progress;
    bool finished = false;
    std::shared_ptr<Call> self;
};

using CallPtr = std::shared_ptr<Call>;

/// Makes calls on its loop's thread.
class Client
{
public:
    /// \a name is unique among the clients of a loop; \a headers are those of answers to keep
    /// beyond the usual ones, lower case.
    Client(Loop &loop, std::string name, std::vector<std::string> headers = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Starts a call. A failure to start is reported to the handlers from the loop.
    CallPtr start(CallRequest request, CallHandlers handlers);
    std::size_t callsInFlight() const { return this->inFlight; }

    /// Callback of libwebsockets. For the library only.
    int onEvent(lws *wsi, int reason, void *in, std::size_t length);

private:
    friend class Call;
    // Of each endpoint a lane holds at most one connection, so that the library's own
    // queueing of requests behind each other on a kept connection never comes into play.
    struct Lane
    {
        std::string name;
        lws_vhost *vhost = nullptr;
    };
    using Occupancy = std::vector<bool>;
    struct Release
    {
        MonoTime due{};
        Address to;
        std::size_t lane = 0;
    };

    std::size_t takeLane(const Address &to);
    void releaseLane(const Call &call, Millis delay);
    void carryOutReleases();
    void connect(const CallPtr &call);
    int appendHeaders(lws *wsi, Call &call, unsigned char **cursor, unsigned char *limit);
    int writeBody(lws *wsi, Call &call);
    int readBody(lws *wsi);
    void onHead(lws *wsi, Call &call);
    void finish(Call &call, Millis laneDelay);
    void failCall(Call &call, std::string reason);

    Loop &loop;
    std::string name;
    std::vector<std::string> headers;
    std::vector<Lane> lanes;
    std::map<Address, Occupancy> busy;
    std::vector<Release> releases;
    std::vector<CallPtr> starting;
    std::size_t inFlight = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Runs \a request to its end on a loop of its own. For command-line use and tests.
struct SyncResult
{
    Response response;
    CallFailure failure;
    bool ok = false;
};
SyncResult callAndWait(CallRequest request, std::vector<std::string> headers = {});

} // namespace lavenderhall::http
