#pragma once

#include "admission/decayedcount.h"

#include <cstdint>
#include <map>
#include <string>

/// Keeps how often each kind of request and each organisation is served, so that none of them is
/// refused much more often than all.
namespace lavenderhall {

/// The requests of one service that have ended lately, by kind and by organisation.
class ServedShares
{
public:
    /// A request of \a kind with \a rank and \a tokens has been served, or has ended without.
    void onEnded(const std::string &kind, const std::string &organisation, int rank,
                 std::int64_t tokens, bool isServed, MonoTime now);
    /// Returns whether a request is not to be refused, as its kind, its organisation or the large
    /// requests of its kind are served too seldom.
    bool isProtected(const std::string &kind, const std::string &organisation, int rank,
                     std::int64_t tokens, MonoTime now) const;

private:
    static constexpr Millis HalfLife{5000};

    struct Share
    {
        DecayedCount served{HalfLife};
        DecayedCount ended{HalfLife};

        void add(bool isServed, MonoTime now);
        bool isKnown(MonoTime now) const;
        double value(MonoTime now) const;
    };
    struct Kind
    {
        Share all;
        Share large;
        int rank = 0;
        double largeTokens = 0; ///< estimate of the size that a tenth of the requests exceed
    };

    void forgetOld(MonoTime now);

    Share all;
    std::map<std::string, Kind> kinds;
    std::map<std::string, Share> organisations;
};

} // namespace lavenderhall
