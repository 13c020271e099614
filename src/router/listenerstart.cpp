#include "router/listenerstart.h"

#include "base/clock.h"
#include "base/listenerror.h"
#include "base/log.h"

#include <uv.h>

namespace lavenderhall {

namespace {

constexpr Millis RetryInterval{100};
constexpr Millis LogInterval{5000}; ///< between two lines about the same listener
constexpr Millis CloseTime{200}; ///< for callers to read their answers and close
constexpr Millis CloseCheckInterval{10};

} // namespace

// The process before may still drain, and any outgoing connection of the machine may have the port.
// Without a bound: the process would only be started again, and readiness shows that it waits.
bool openWhenFree(http::Loop &loop, std::string_view listener, const std::function<void()> &open,
                  const std::function<bool()> &isStopped)
{
    const MonoTime startedAt = monoNow();
    MonoTime nextLine = startedAt;
    while (!isStopped()) {
        try {
            open();
            return true;
        } catch (const ListenError &error) {
            if (!error.isTransient())
                throw;
            const MonoTime now = monoNow();
            if (now >= nextLine) {
                nextLine = now + LogInterval;
                const auto waited = std::chrono::duration_cast<Millis>(now - startedAt);
                logEvent(LogLevel::Warning, "start_delayed",
                         {{"listener", listener},
                          {"address", error.address().toString()},
                          {"code", uv_err_name(uv_translate_sys_error(error.code()))},
                          {"waited_ms", waited.count()}});
            }
        }
        loop.runFor(RetryInterval);
    }
    return false;
}

// Callers may have connected while the instance waited for another of its addresses.
void answerAndClose(http::Loop &loop, http::Server *server)
{
    if (!server)
        return;
    server->closeAfterAnswers();
    server->closeIdleConnections();
    server->stopListening();
    const MonoTime until = monoNow() + CloseTime;
    while (server->openSockets() > 0 && monoNow() < until)
        loop.runFor(CloseCheckInterval);
}

} // namespace lavenderhall
