#pragma once

#include "http/server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Fake of the platform's object service: objects with versions, conditional writes, watches and
/// limits on the call rate.
namespace lavenderhall::fakes {

/// Faults that a test can inject, also by POST /_faults.
struct StoreFaults
{
    bool isDown = false; ///< answers 503 to all calls
    bool isUnreachable = false; ///< aborts each connection without an answer
    Millis delay{0}; ///< of each answer
    int loseAnswers = 0; ///< number of next writes that take effect and whose answers are lost
};

class Store
{
public:
    Store(http::Loop &loop, const Address &listen, int writesPerSecond = 400,
          int readsPerSecond = 2000);

    StoreFaults faults;

    /// Returns the number of GET calls so far, also those over the rate.
    std::uint64_t readCount() const { return this->reads; }
    /// Returns the number of other calls so far, also those over the rate.
    std::uint64_t writeCount() const { return this->writes; }
    /// Aborts all open watches, as a service that stops does.
    void cutWatches();
    /// Writes an object regardless of its version, as the platform itself does, and answers the
    /// watches of it.
    void put(const std::string &name, std::string body);

private:
    struct Object
    {
        std::int64_t version = 0; ///< unique among all objects and rising
        std::string body;
    };
    /// A read that is answered when the object has a higher version than \c afterVersion.
    struct Watch
    {
        std::string name;
        std::int64_t afterVersion = 0;
        http::ExchangePtr exchange;
        http::Timer timer; ///< ends the watch with status 304
    };
    /// Limits the rate of calls; holds the calls of one second at most.
    struct TokenBucket
    {
        double level = 0;
        double perSecond = 0;
        MonoTime refilledAt{};
        /// Takes one token; returns false if there is none.
        bool tryTake();
    };

    void serve(const http::ExchangePtr &exchange);
    void serveObject(const http::ExchangePtr &exchange);
    void serveRead(const http::ExchangePtr &exchange, const std::string &name);
    void serveWrite(const http::ExchangePtr &exchange, const std::string &name);
    void serveList(const http::ExchangePtr &exchange);
    void serveFaults(const http::ExchangePtr &exchange);
    void startWatch(const http::ExchangePtr &exchange, const std::string &name,
                    std::int64_t afterVersion);
    void answerWatches(const std::string &name);

    http::Loop &loop;
    std::map<std::string, Object> objects;
    std::vector<std::shared_ptr<Watch>> watches;
    std::map<http::Exchange *, http::Timer> delayTimers;
    std::int64_t lastVersion = 0;
    TokenBucket readBucket;
    TokenBucket writeBucket;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    http::Server server;
};

} // namespace lavenderhall::fakes
