#pragma once

#include "base/address.h"
#include "http/carriedids.h"
#include "http/loop.h"
#include "http/message.h"
#include "http/parser.h"
#include "http/socket.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// HTTP/1.1 client with a pool of idle keep-alive connections.
namespace lavenderhall::http {

/// Whether a call may use an idle connection of the pool.
enum class Reuse {
    Allowed,
    /// Only a connection that has carried an answer in the last 1.5 seconds, as the server is
    /// unlikely to have closed it since.
    Recent,
    /// Never, for calls that must not be repeated: the server may have closed an idle connection
    /// without the client having noticed yet. Also for calls whose answer bears no id: the second
    /// copy of an earlier answer may still arrive on a connection that has been used.
    Never,
};

/// Request of a call, and how to send it.
struct CallRequest
{
    Address to;
    Method method = Method::Get;
    std::string path; ///< with the query; texts from outside are to be encoded by percentEncoded()
    Headers headers; ///< names in lower case; without a "host", the address is sent as the host
    std::string body;
    /// That the answer bears too; empty if it bears none. No connection carries two requests with
    /// one id, also if they are different ones.
    std::string requestId;
    Reuse reuse = Reuse::Allowed;
    Millis connectTimeout = std::chrono::milliseconds(500);
    Millis headTimeout = std::chrono::seconds(10); ///< from sending until the answer's head
    Millis bodyTimeout{0}; ///< from the answer's head until its end; 0 for no limit
    std::size_t maxBodyBytes = 0; ///< of the answer, beyond which the call fails; 0 for no limit
};

/// The connection of a call, and what it had carried before.
struct UsedConnection
{
    std::uint64_t number = 0; ///< among all connections of the client; 0: none
    int earlierAnswers = 0;
    /// Idle connections that were not used, as they had carried a request with the same id.
    int skippedConnections = 0;

    bool operator==(const UsedConnection &) const = default;
};

/// Why a call failed, and how far it had come.
struct CallFailure
{
    bool mayHaveBeenSent = false; ///< false only if no byte of the request has been written
    bool headReceived = false; ///< the answer's status and headers have arrived
    bool timedOut = false;
    bool connectionLost = false; ///< an established connection ended before the answer did
    std::string reason;
    bool bytesReceived = false; ///< something has come back, whether it is an answer or not
};

/// Callbacks of a call. The last one is either onEnd or onFailed, and each of them is called at
/// most once.
struct CallHandlers
{
    std::function<void(int status, const Headers &headers)> onHead;
    std::function<void(std::string_view data)> onData; ///< a part of the answer's body
    std::function<void()> onEnd; ///< the answer is complete
    std::function<void(const CallFailure &failure)> onFailed;
};

class Client;
class ClientConnection;

/// One request in progress, and the handle to cancel it.
class Call : public std::enable_shared_from_this<Call>
{
public:
    /// Cancels the call and closes its connection. No handler is called any more.
    void cancel();
    /// Starts or stops reading the answer from the socket, for backpressure.
    void setReading(bool on);
    /// Returns whether the call has ended, failed or been cancelled.
    bool isFinished() const { return this->finished; }
    /// Returns whether the answer has ended with its connection, as it had neither a length nor
    /// chunks. A server that crashes may end an answer in this way, too.
    bool hasEndedByClose() const { return this->endedByClose; }
    const UsedConnection &usedConnection() const { return this->connectionUse; }
    /// Returns whether the connection of this unfinished call has carried an earlier request with
    /// \a requestId.
    bool hasCarriedBefore(const std::string &requestId) const;

private:
    friend class Client;
    friend class ClientConnection;

    CallRequest request;
    CallHandlers handlers;
    Client *client = nullptr;
    std::shared_ptr<ClientConnection> connection;
    Timer timer;
    CallFailure progress; ///< passed to onFailed if the call fails
    bool finished = false;
    bool endedByClose = false;
    UsedConnection connectionUse;
};

using CallPtr = std::shared_ptr<Call>;

/// Starts calls and owns their connections. All members belong to the loop's thread.
class Client
{
public:
    explicit Client(Loop &loop);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Starts a call. The handlers are called later from the loop, also if the call cannot start: a
    /// request whose path or headers would break its lines fails without having been sent.
    CallPtr start(CallRequest request, CallHandlers handlers);
    /// Bounds the connections. For a further one, the one that has been idle for longest is closed;
    /// if none is idle, the call fails without having been sent.
    void setMaxConnections(std::size_t count) { this->maxConnections = count; }
    /// Returns the number of connections to \a to, in use or idle.
    std::size_t connectionsTo(const Address &to) const;
    /// Closes the idle connections to \a to.
    void closeIdleConnections(const Address &to);

private:
    friend class Call;
    friend class ClientConnection;
    using ConnectionPtr = std::shared_ptr<ClientConnection>;

    /// Takes an idle connection for \a call out of the pool; returns nullptr if there is no
    /// suitable one.
    ConnectionPtr takeIdle(Call &call);
    /// Puts a connection that has completed its call into the pool.
    void addIdle(const ConnectionPtr &connection);
    /// Closes the connection that has been idle for longest; false if none is idle.
    bool closeLongestIdle();
    /// Removes a closed connection.
    void remove(const ConnectionPtr &connection);
    void finish(Call &call);
    void failCall(const CallPtr &call, std::string reason);
    /// Fails a call that has not been sent, from the loop.
    void failLater(const CallPtr &call, const char *reason);

    Loop &loop;
    std::map<Address, std::vector<ConnectionPtr>> idleConnections; ///< most recently used last
    std::map<Address, std::set<ConnectionPtr>> openConnections; ///< in use and idle
    std::set<CallPtr> calls;
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    std::size_t connectionCount = 0; ///< in openConnections
    std::uint64_t lastConnectionNumber = 0;
};

/// Receives the complete answer, or nullptr and the failure if the call failed.
using ResponseHandler = std::function<void(const Response *response, const CallFailure &failure)>;

/// Starts a call that collects the whole answer in memory, for answers that are small. Limits that
/// \a request does not set have defaults, so that an answer without end is given up.
CallPtr startBuffered(Client &client, CallRequest request, const ResponseHandler &handler);

/// Result of callAndWait().
struct SyncResult
{
    Response response; ///< if ok
    CallFailure failure; ///< if not ok
    bool ok = false; ///< an answer has arrived, whatever its status
};

/// Runs \a request on a loop of its own and blocks until it ends. For the command line and tests.
SyncResult callAndWait(CallRequest request);

} // namespace lavenderhall::http
