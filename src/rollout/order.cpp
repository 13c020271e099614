#include "rollout/order.h"

namespace lavenderhall {

const char *toString(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::AlreadyDone:
        return "already_done";
    case OrderAnswer::Conflict:
        return "conflict";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::OtherEndpoint:
        return "other_endpoint";
    case OrderAnswer::Rejected:
        return "rejected";
    case OrderAnswer::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace lavenderhall
