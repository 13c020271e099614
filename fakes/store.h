#pragma once

#include "http/server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Stand-in for the platform's object service.
namespace lavenderhall::fakes {

/// Faults that a test can switch on; also set by POST /_faults.
struct StoreFaults
{
    bool isDown = false; ///< answers 503 to everything
    bool isUnreachable = false; ///< cuts each connection without an answer
    Millis delay{0}; ///< before each answer
    int loseAnswers = 0; ///< so many next writes take effect, and their answers are lost
};

class Store
{
public:
    Store(http::Loop &loop, const Address &listen, int writesPerSecond = 400,
          int readsPerSecond = 2000);

    StoreFaults faults;

    std::uint64_t readCount() const { return this->reads; }
    std::uint64_t writeCount() const { return this->writes; }
    /// Cuts all waiting watches, as a service that goes away does.
    void cutWatches();
    /// Sets an object regardless of its version, as the platform itself does.
    void put(const std::string &name, std::string body);

private:
    struct Object
    {
        std::int64_t version = 0;
        std::string body;
    };
    struct Watch
    {
        std::string name;
        std::int64_t after = 0;
        http::ExchangePtr exchange;
        http::Timer timer;
    };
    struct Bucket
    {
        double level = 0;
        double perSecond = 0;
        MonoTime last{};
        bool take();
    };

    void serve(const http::ExchangePtr &exchange);
    void serveObject(const http::ExchangePtr &exchange);
    void serveRead(const http::ExchangePtr &exchange, const std::string &name);
    void serveWrite(const http::ExchangePtr &exchange, const std::string &name);
    void serveList(const http::ExchangePtr &exchange);
    void serveFaults(const http::ExchangePtr &exchange);
    void startWatch(const http::ExchangePtr &exchange, const std::string &name, std::int64_t after);
    void notify(const std::string &name);

    http::Loop &loop;
    std::map<std::string, Object> objects;
    std::vector<std::shared_ptr<Watch>> watches;
    std::map<http::Exchange *, http::Timer> delayed;
    std::int64_t lastVersion = 0;
    Bucket readBucket;
    Bucket writeBucket;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    http::Server server;
};

} // namespace lavenderhall::fakes
