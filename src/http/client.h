#pragma once

#include "base/address.h"
#include "http/loop.h"
#include "http/message.h"
#include "http/parser.h"
#include "http/socket.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// HTTP/1.1 client with a pool of kept connections.
namespace lavenderhall::http {

/// Which connection a call may use.
enum class Reuse {
    Allowed,
    Recent, ///< a kept one only if it has carried an answer a moment ago
    Never, ///< for calls that must not be repeated: a kept connection may be dead unseen
};

struct CallRequest
{
    Address to;
    Method method = Method::Get;
    std::string path; ///< with the query
    Headers headers; ///< names in lower case; a host of its own goes before the address
    std::string body;
    Reuse reuse = Reuse::Allowed;
    Millis connectTimeout = std::chrono::milliseconds(500);
    Millis headTimeout = std::chrono::seconds(10); ///< from the start until the answer's head
};

/// Why a call failed.
struct CallFailure
{
    bool mayHaveBeenSent = false; ///< false only if no byte of the request can have left
    bool headReceived = false;
    bool timedOut = false;
    bool wasReset = false; ///< the connection broke, as against a clean or own end
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

class Client;
class ClientConnection;

/// One request in progress.
class Call : public std::enable_shared_from_this<Call>
{
public:
    /// Gives the call up: closes its connection; no handler is called any more.
    void cancel();
    /// Stops or goes on reading from the socket, for backpressure.
    void setReading(bool on);
    bool isFinished() const { return this->finished; }

private:
    friend class Client;
    friend class ClientConnection;

    CallRequest request;
    CallHandlers handlers;
    Client *client = nullptr;
    std::shared_ptr<ClientConnection> connection;
    Timer timer;
    CallFailure progress;
    bool finished = false;
};

using CallPtr = std::shared_ptr<Call>;

/// Makes calls on its loop's thread.
class Client
{
public:
    explicit Client(Loop &loop);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Starts a call. A failure to start is reported to the handlers from the loop.
    CallPtr start(CallRequest request, CallHandlers handlers);
    std::size_t callsInFlight() const { return this->calls.size(); }
    /// Connections to \a to, in use or kept.
    std::size_t connectionsTo(const Address &to) const;
    /// Closes the kept connections to \a to.
    void closeIdleConnections(const Address &to);

private:
    friend class Call;
    friend class ClientConnection;
    using ConnectionPtr = std::shared_ptr<ClientConnection>;

    ConnectionPtr takeIdle(const Address &to, Reuse reuse);
    void keep(const ConnectionPtr &connection);
    void forget(const ConnectionPtr &connection);
    void finish(Call &call);
    void failCall(const CallPtr &call, std::string reason);

    Loop &loop;
    std::map<Address, std::vector<ConnectionPtr>> idle; ///< most recently used last
    std::map<Address, std::set<ConnectionPtr>> open;
    std::set<CallPtr> calls;
};

/// Gets the whole answer, or nullptr if the call failed.
using ResponseHandler = std::function<void(const Response *response, const CallFailure &failure)>;

/// Starts a call whose answer is small and wanted as a whole.
CallPtr startBuffered(Client &client, CallRequest request, const ResponseHandler &handler);

/// Runs \a request to its end on a loop of its own. For command-line use and tests.
struct SyncResult
{
    Response response;
    CallFailure failure;
    bool ok = false;
};
SyncResult callAndWait(CallRequest request);

} // namespace lavenderhall::http
