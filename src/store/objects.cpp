#include "store/objects.h"

namespace lavenderhall {

namespace {

constexpr Millis CallTimeout{1500};
constexpr Millis ConnectTimeout{1000};
constexpr Millis WatchSlack{700}; ///< beyond the time that a watch waits

} // namespace

ObjectClient::ObjectClient(http::Loop &loop, Address address, const ObjectCodec &form)
    : address(std::move(address))
    , form(form)
    , client(loop)
{ }

void ObjectClient::start(http::CallRequest request, Millis timeout,
                         const http::WholeHandler &handler)
{
    ++this->calls;
    request.to = this->address;
    request.headTimeout = timeout;
    request.connectTimeout = ConnectTimeout;
    http::startWhole(this->client, std::move(request), handler);
}

template <typename Reply>
void ObjectClient::startTyped(const http::CallRequest &request, Millis timeout,
                              Reply (*read)(const http::Response &response),
                              const std::function<void(const Reply &reply)> &handler)
{
    this->start(request, timeout,
                [read, handler](const http::Response *response, const http::CallFailure &failure) {
                    if (response)
                        return handler(read(*response));
                    Reply reply;
                    reply.status = interpretFailure(failure).status;
                    handler(reply);
                });
}

void ObjectClient::list(const std::string &kind, const std::string &after,
                        const PageHandler &handler)
{
    this->startTyped<ObjectPage>(this->form.list(kind, after), CallTimeout, this->form.readPage,
                                 handler);
}

void ObjectClient::watch(const std::string &kind, std::int64_t revision, Millis wait,
                         const ChangesHandler &handler)
{
    this->startTyped<ObjectChanges>(this->form.watch(kind, revision, wait), wait + WatchSlack,
                                    this->form.readChanges, handler);
}

void ObjectClient::read(const std::string &kind, const std::string &name,
                        const ReplyHandler &handler)
{
    this->startTyped<ObjectReply>(this->form.read(kind, name), CallTimeout, this->form.readReply,
                                  handler);
}

// Writes use a new connection: on a kept one that has died unseen, the outcome is unknown.
void ObjectClient::create(const std::string &kind, const StoredObject &object,
                          const ReplyHandler &handler)
{
    http::CallRequest call = this->form.create(kind, object);
    call.reuse = http::Reuse::Recent;
    this->startTyped<ObjectReply>(call, CallTimeout, this->form.readReply, handler);
}

void ObjectClient::replace(const std::string &kind, const StoredObject &object,
                           const ReplyHandler &handler)
{
    http::CallRequest call = this->form.replace(kind, object);
    call.reuse = http::Reuse::Recent;
    this->startTyped<ObjectReply>(call, CallTimeout, this->form.readReply, handler);
}

} // namespace lavenderhall
