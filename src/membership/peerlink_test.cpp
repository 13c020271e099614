#include "membership/peerlink.h"

#include "base/clock.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fcntl.h>
#include <mutex>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace lavenderhall;

namespace {

proto::Envelope ping()
{
    proto::Envelope message;
    message.mutable_from()->set_name("friend");
    message.mutable_ping()->set_number(7);
    return message;
}

/// A link that counts the messages that it receives.
struct CountingLink
{
    std::atomic<int> received = 0;
    PeerLink link;

    explicit CountingLink(std::uint16_t port,
                          std::size_t maxConnections = PeerLink::DefaultMaxConnections)
        : link(
            {"127.0.0.1", port}, {}, [this](const proto::Envelope &) { ++this->received; },
            maxConnections)
    { }
};

/// Calls \a isDone every 20 ms until it returns true; false if it has not within 5 s.
template <typename Condition> bool waitUntil(Condition isDone)
{
    for (int round = 0; round < 250; ++round) {
        if (isDone())
            return true;
        std::this_thread::sleep_for(Millis(20));
    }
    return false;
}

/// Takes all descriptors that the process may still open, as long as it exists.
class TakenDescriptors
{
public:
    explicit TakenDescriptors(rlim_t limit)
    {
        const rlimit few{limit, limit};
        setrlimit(RLIMIT_NOFILE, &few);
        for (int fd = open("/dev/null", O_RDONLY); fd >= 0; fd = open("/dev/null", O_RDONLY))
            this->taken.push_back(fd);
    }
    ~TakenDescriptors()
    {
        for (const int fd : this->taken)
            close(fd);
    }
    TakenDescriptors(const TakenDescriptors &) = delete;
    TakenDescriptors &operator=(const TakenDescriptors &) = delete;

private:
    std::vector<int> taken;
};

} // namespace

// Guards against a process that ends when a message needs a socket and no descriptor is left.
Test(peerlink, a_message_is_dropped_while_no_descriptor_is_left)
{
    CountingLink receiver(18711);
    CountingLink sender(18712);
    {
        const TakenDescriptors all(128);
        for (std::uint16_t port = 18720; port < 18730; ++port)
            sender.link.send({"127.0.0.1", port}, ping());
        cr_assert(waitUntil([&] { return sender.link.counts().messagesDropped == 10U; }));
    }
    sender.link.send({"127.0.0.1", 18711}, ping());
    cr_assert(waitUntil([&] { return receiver.received == 1; }));
}

// Guards against a process that ends when another one tells it an address that is none.
Test(peerlink, a_message_to_an_address_that_is_none_is_dropped)
{
    CountingLink receiver(18711);
    CountingLink sender(18712);
    sender.link.send({"no address", 1}, ping());
    sender.link.send({"", 0}, ping());
    sender.link.send({"127.0.0.1", 18711}, ping());
    cr_assert(waitUntil([&] { return receiver.received == 1; }));
    cr_assert(eq(u64, sender.link.counts().messagesDropped, 2U));
}

// Guards against a process that ends when it has sent to more peers than ZeroMQ allows sockets.
Test(peerlink, the_connection_unused_for_longest_makes_room_for_a_further_one)
{
    CountingLink receiver(18711);
    CountingLink sender(18712, 3);
    for (std::uint16_t port = 20'000; port < 21'200; ++port)
        sender.link.send({"127.0.0.2", port}, ping());
    cr_assert(waitUntil([&] {
        sender.link.send({"127.0.0.1", 18711}, ping());
        return receiver.received > 0;
    }));
}

// Guards against a start that ends with an exception of another type than callers expect.
Test(peerlink, a_link_without_descriptors_does_not_start)
{
    const TakenDescriptors all(32);
    bool hasThrown = false;
    try {
        const CountingLink link(18711);
    } catch (const std::runtime_error &) {
        hasThrown = true;
    }
    cr_assert(hasThrown);
}
