#include "store/objects.h"

namespace lavenderhall {

namespace {

constexpr Millis CallTimeout{1500};
constexpr Millis ConnectTimeout{1000};
constexpr Millis WatchSlack{700}; ///< beyond the time that a watch waits

} // namespace

ObjectClient::ObjectClient(http::Loop &loop, http::Address address, const ObjectForm &form)
    : address(std::move(address))
    , form(form)
    , client(loop)
{ }

void ObjectClient::start(http::CallRequest request, Millis timeout, WholeHandler handler)
{
    ++this->calls;
    request.to = this->address;
    request.headTimeout = timeout;
    request.connectTimeout = ConnectTimeout;
    const auto response = std::make_shared<http::Response>();
    http::CallHandlers handlers;
    handlers.onHead = [response](int status, const http::Headers &headers) {
        response->status = status;
        response->headers = headers;
    };
    handlers.onData = [response](std::string_view data) { response->body.append(data); };
    handlers.onEnd = [response, handler] { handler(response.get(), {}); };
    handlers.onFailed = [handler](const http::CallFailure &failure) { handler(nullptr, failure); };
    this->client.start(std::move(request), std::move(handlers));
}

template <typename Reply>
void ObjectClient::startTyped(http::CallRequest request, Millis timeout,
                              Reply (*read)(const http::Response &response),
                              std::function<void(const Reply &reply)> handler)
{
    this->start(std::move(request), timeout,
                [read, handler = std::move(handler)](const http::Response *response,
                                                     const http::CallFailure &failure) {
                    if (response)
                        return handler(read(*response));
                    Reply reply;
                    reply.status = interpretFailure(failure).status;
                    handler(reply);
                });
}

void ObjectClient::list(const std::string &kind, const std::string &after, PageHandler handler)
{
    this->startTyped<ObjectPage>(this->form.list(kind, after), CallTimeout, this->form.readPage,
                                 std::move(handler));
}

void ObjectClient::watch(const std::string &kind, std::int64_t revision, Millis wait,
                         ChangesHandler handler)
{
    this->startTyped<ObjectChanges>(this->form.watch(kind, revision, wait), wait + WatchSlack,
                                    this->form.readChanges, std::move(handler));
}

void ObjectClient::read(const std::string &kind, const std::string &name, ReplyHandler handler)
{
    this->startTyped<ObjectReply>(this->form.read(kind, name), CallTimeout, this->form.readReply,
                                  std::move(handler));
}

// Writes use a new connection: on a kept one that has died unseen, the outcome is unknown.
void ObjectClient::create(const std::string &kind, const StoredObject &object, ReplyHandler handler)
{
    http::CallRequest call = this->form.create(kind, object);
    call.reuse = http::Reuse::Recent;
    this->startTyped<ObjectReply>(std::move(call), CallTimeout, this->form.readReply,
                                  std::move(handler));
}

void ObjectClient::replace(const std::string &kind, const StoredObject &object,
                           ReplyHandler handler)
{
    http::CallRequest call = this->form.replace(kind, object);
    call.reuse = http::Reuse::Recent;
    this->startTyped<ObjectReply>(std::move(call), CallTimeout, this->form.readReply,
                                  std::move(handler));
}

} // namespace lavenderhall
