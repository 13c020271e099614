#pragma once

#include "base/clock.h"
#include "routing/endpointnotices.h"

#include <map>
#include <optional>

/// The limits that overloaded endpoints name in their answers. Such a limit is meant for the sum of
/// all instances, each of which sees only the answers to its own requests.
namespace lavenderhall {

/// What is known about the limit of an endpoint. Values of several instances are merged.
struct NamedLimit
{
    double requestsPerSecond = 0;
    MonoTime namedAt{}; ///< when an answer with the limit last arrived
    /// When the last of the requests was sent whose answers named no limit.
    MonoTime liftedAt{};

    /// An answer without a limit ends it only if its request was sent after the limit was last
    /// named: answers overtake each other.
    bool isInForce() const { return this->namedAt > MonoTime{} && this->namedAt >= this->liftedAt; }

    /// Adds what another instance knows.
    void merge(const NamedLimit &other);

    auto operator<=>(const NamedLimit &) const = default;
};

/// Keeps the limits of all endpoints, by incarnation, what the other instances know of them, and
/// until when this instance sends no request to an endpoint because the limit is used up.
class EndpointLimits
{
public:
    /// An answer of \a endpoint that arrived at \a now names a limit.
    void onNamed(const Incarnation &endpoint, double requestsPerSecond, MonoTime now);
    /// An answer to a request that was sent to \a endpoint at \a sentAt names no limit.
    void onNoneNamed(const Incarnation &endpoint, MonoTime sentAt);
    /// All instances were told by another one what it knows.
    void onTold(const Incarnation &endpoint, const NamedLimit &known, MonoTime now);
    /// Returns what all instances are to be told about \a endpoint, if that is news to them. It
    /// counts as told then.
    std::optional<NamedLimit> takeNews(const Incarnation &endpoint);
    /// The limit of \a endpoint is used up until \a until.
    void onUsedUp(const Incarnation &endpoint, MonoTime until);

    /// Returns what is known about the limit of \a endpoint, in force or not; nullptr if none was
    /// named.
    const NamedLimit *find(const Incarnation &endpoint) const;
    /// Whether requests to \a endpoint need a permit.
    bool isLimited(const Incarnation &endpoint) const;
    /// Returns until when \a endpoint gets no request because its limit is used up; a time in the
    /// past if it may get some.
    MonoTime closedUntil(const Incarnation &endpoint) const;

private:
    struct State
    {
        NamedLimit limit;
        NamedLimit told; ///< what the other instances know
        MonoTime changedAt{};
        MonoTime usedUpUntil{};
    };

    /// Returns the state of \a endpoint, to be changed, and forgets those that are very old.
    State &stateToChange(const Incarnation &endpoint, MonoTime now);

    std::map<Incarnation, State> states;
};

} // namespace lavenderhall
