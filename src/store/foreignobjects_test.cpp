#include "forward/rawendpoint.h"
#include "http/rawstream.h"
#include "platform.h"
#include "store/objects.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <map>

using namespace lavenderhall;

namespace {

/// A store that answers the first call of each connection about the next of some objects, and sends
/// a copy of that answer where the answers to later calls on the connection are due.
class RepeatingStore
{
public:
    RepeatingStore(http::Loop &loop, std::deque<std::string> objects)
        : objects(std::move(objects))
        , endpoint(loop, Address{http::ownHost(), 18118},
                   [this](const RawEndpoint::ConnectionPtr &to) { this->answer(to); })
    { }

    const Address &address() const { return this->endpoint.address(); }

private:
    void answer(const RawEndpoint::ConnectionPtr &connection)
    {
        std::string &bytes = this->answers[connection.get()];
        if (bytes.empty()) {
            const Json body{{"metadata", {{"name", this->objects.front()}, {"revision", 7}}},
                            {"spec", {{"x", 1}}}};
            this->objects.pop_front();
            const std::string text = body.dump();
            bytes = "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(text.size()) + "\r\n\r\n"
                + text;
        }
        connection->socket->write(bytes);
    }

    std::deque<std::string> objects; ///< names
    std::map<const RawEndpoint::Connection *, std::string> answers;
    RawEndpoint endpoint;
};

} // namespace

// Guards against a lease or a limit that is read from the answer about another object, and a write
// that counts as done because another one was.
Test(foreignobjects, the_copy_of_an_answer_about_another_object_counts)
{
    http::Loop loop;
    const RepeatingStore store(loop, {"a", "b", "b"});
    ObjectClient client(loop, store.address(), platform::adapter().objects);
    ObjectReply reply;
    const auto onReply = [&](const ObjectReply &answered) {
        reply = answered;
        loop.stop();
    };
    const auto read = [&](const std::string &name) {
        client.read("leases", name, onReply);
        loop.runFor(std::chrono::seconds(5));
        return reply;
    };
    cr_assert(read("a").object->name == "a");
    const ObjectReply copy = read("b");
    cr_assert(copy.status == StoreStatus::Unknown && !copy.object);
    cr_assert(read("b").object->name == "b");
    client.replace("leases", {"a", 7, {{"x", 2}}}, onReply);
    loop.runFor(std::chrono::seconds(5));
    cr_assert(reply.status == StoreStatus::Unknown && !reply.object);
}
