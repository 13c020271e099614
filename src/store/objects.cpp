#include "store/objects.h"

#include "base/log.h"

namespace lavenderhall {

namespace {

constexpr Millis CallTimeout{1500};
constexpr Millis ConnectTimeout{1000};
constexpr Millis WatchMargin{700}; ///< timeout of a watch beyond its wait time

} // namespace

ObjectClient::ObjectClient(http::Loop &loop, Address address, const ObjectCodec &codec)
    : address(std::move(address))
    , codec(codec)
    , client(loop)
{ }

void ObjectClient::start(http::CallRequest request, Millis timeout,
                         const http::ResponseHandler &handler)
{
    ++this->calls;
    request.to = this->address;
    request.headTimeout = timeout;
    request.connectTimeout = ConnectTimeout;
    http::startBuffered(this->client, std::move(request), handler);
}

template <typename Reply>
void ObjectClient::startTyped(const http::CallRequest &request, Millis timeout,
                              Reply (*readAnswer)(const http::Response &response),
                              const std::function<void(const Reply &reply)> &handler)
{
    this->start(
        request, timeout,
        [readAnswer, handler](const http::Response *response, const http::CallFailure &failure) {
            if (response)
                return handler(readAnswer(*response));
            Reply reply;
            reply.status = interpretFailure(failure).status;
            handler(reply);
        });
}

void ObjectClient::list(const std::string &kind, const std::string &after,
                        const PageHandler &handler)
{
    this->startTyped<ObjectPage>(this->codec.list(kind, after), CallTimeout, this->codec.readPage,
                                 handler);
}

void ObjectClient::watch(const std::string &kind, std::int64_t revision, Millis wait,
                         const ChangesHandler &handler)
{
    this->startTyped<ObjectChanges>(this->codec.watch(kind, revision, wait), wait + WatchMargin,
                                    this->codec.readChanges, handler);
}

// Answers bear no id. The second copy of an earlier answer is recognised if it has another object.
// A write whose answer was another one's may have been applied.
void ObjectClient::startForObject(const http::CallRequest &request, const std::string &name,
                                  const ReplyHandler &handler)
{
    const auto onReply = [this, name, handler](const ObjectReply &reply) {
        if (!reply.object || reply.object->name == name)
            return handler(reply);
        logEvent(LogLevel::Warning, "store_answer_foreign",
                 {{"object", name}, {"answered", reply.object->name}});
        this->client.closeIdleConnections(this->address);
        handler({});
    };
    this->startTyped<ObjectReply>(request, CallTimeout, this->codec.readReply, onReply);
}

void ObjectClient::read(const std::string &kind, const std::string &name,
                        const ReplyHandler &handler)
{
    this->startForObject(this->codec.read(kind, name), name, handler);
}

// Writes only reuse a connection that was used recently: if an idle one has been closed unnoticed,
// the outcome of the write is unknown.
void ObjectClient::create(const std::string &kind, const StoredObject &object,
                          const ReplyHandler &handler)
{
    http::CallRequest call = this->codec.create(kind, object);
    call.reuse = http::Reuse::Recent;
    this->startForObject(call, object.name, handler);
}

void ObjectClient::replace(const std::string &kind, const StoredObject &object,
                           const ReplyHandler &handler)
{
    http::CallRequest call = this->codec.replace(kind, object);
    call.reuse = http::Reuse::Recent;
    this->startForObject(call, object.name, handler);
}

void ObjectClient::replaceStatus(const std::string &kind, const StoredObject &object,
                                 const ReplyHandler &handler)
{
    http::CallRequest call = this->codec.replaceStatus(kind, object);
    call.reuse = http::Reuse::Recent;
    this->startForObject(call, object.name, handler);
}

} // namespace lavenderhall
