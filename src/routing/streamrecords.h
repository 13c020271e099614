#pragma once

#include "base/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Which build began each stream, as far as this instance knows, in bounded memory.
///
/// Hundreds of streams a second begin, and of these a few break off and are resumed, perhaps
/// at another instance. All streams of an instance's last seconds burst into the records that it
/// keeps in the store when a second build appears.
namespace lavenderhall {

/// The ids of the requests that began streams, by the build that ran them.
using StreamsByBuild = std::map<std::string, std::vector<std::string>>;

/// The streams of this instance, and those of the last list of the store.
class StreamRecords
{
public:
    /// Sets how long a stream may be resumed after it was sent to an endpoint.
    void setStreamLifetime(Millis lifetime) { this->streamLifetime = lifetime; }
    /// A stream of this instance is sent to an endpoint. Until it begins, it may be sent to others,
    /// and the last one counts.
    void onSent(const std::string &stream, const std::string &service, const std::string &build,
                MonoTime now);
    /// Applies what an earlier process of this instance has left in the store.
    void onEarlierProcess(const StreamsByBuild &streams, MonoTime now);
    /// A stream of this instance has not begun, and will not begin here. Returns whether it had
    /// been recorded.
    bool onNotBegun(const std::string &stream);
    /// Replaces what is known of other instances by what the store has of all.
    void onListed(const std::vector<StreamsByBuild> &instances);
    /// Returns the build to which this process last sent the stream; nothing if it has not.
    std::optional<std::string> findOwn(const std::string &stream) const;
    /// Returns the build that began the stream by the last list; nothing if that does not tell.
    std::optional<std::string> findListed(const std::string &stream) const;
    /// Returns the streams of this instance in \a services that may still be resumed, and those of
    /// its earlier processes.
    StreamsByBuild ownStreams(const std::set<std::string> &services, MonoTime now);
    /// Returns how often streams of \a services were sent, or recorded streams did not begin.
    /// Whenever ownStreams() has something new, this number has grown.
    std::size_t changeCount(const std::set<std::string> &services) const;

private:
    struct Sent
    {
        std::string service; ///< "" if an earlier process sent it
        std::string build;
        MonoTime at{};
    };
    /// One call of onSent(), by which old streams are found.
    struct Sending
    {
        std::string stream;
        MonoTime at{};
    };

    void forgetOld(MonoTime now);
    void addListed(const std::string &stream, const std::string &build);

    Millis streamLifetime{60'000};
    std::unordered_map<std::string, Sent> own;
    std::deque<Sending> sendings; ///< of own, oldest first; an entry with another time is outdated
    /// Build by stream; empty if instances disagree.
    std::unordered_map<std::string, std::optional<std::string>> listed;
    std::map<std::string, std::size_t> changeCounts; ///< by service
};

} // namespace lavenderhall
