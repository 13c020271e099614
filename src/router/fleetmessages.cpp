#include "router/fleet.h"

#include "membership/taskassignment.h"

/// The part of Fleet that exchanges messages with other instances.
namespace lavenderhall {

namespace {

constexpr Millis SeatRequestInterval{300};
constexpr Millis ConfigRequestInterval{200};

} // namespace

void Fleet::sendTo(const Address &to, proto::Envelope message)
{
    if (!this->link)
        return;
    *message.mutable_from() = this->self;
    const HlcTimestamp stamp = this->timeline.latest();
    message.set_wall_ms(stamp.wallMillis);
    message.set_counter(stamp.counter);
    this->link->send(to, message);
}

void Fleet::send(const proto::ProcessId &to, proto::Envelope message)
{
    if (isSameProcess(to, this->self)) {
        *message.mutable_from() = this->self;
        this->loop.post([this, isAlive = this->isAlive, message = std::move(message)] {
            if (*isAlive)
                this->receive(message);
        });
        return;
    }
    if (const auto address = this->members->addressOf(to))
        this->sendTo(*address, std::move(message));
}

void Fleet::receive(const proto::Envelope &message)
{
    const MonoTime now = monoNow();
    this->timeline.observe({message.wall_ms(), message.counter()});
    switch (message.payload_case()) {
    case proto::Envelope::kPing:
    case proto::Envelope::kAck:
    case proto::Envelope::kPingRequest:
        this->execute(this->members->onMessage(message, now));
        this->reportMemberChanges();
        return this->requestNewerConfig();
    case proto::Envelope::kBorrow:
        return this->receiveBorrow(message);
    case proto::Envelope::kLoan:
        if (message.loan().not_holder() && message.loan().has_holder())
            this->seats->adoptIfNewer(message.loan().holder(), now);
        return this->execute(this->borrower->onLoan(message.loan(), now));
    case proto::Envelope::kSettle:
        return this->lender->settle(message.from(), message.settle(), now);
    case proto::Envelope::kRefund:
        return this->lender->refund(message.from(), message.refund(), now);
    case proto::Envelope::kConfigRequest:
        return this->receiveConfigRequest(message);
    case proto::Envelope::kConfigOffer:
        if (this->replicatedConfig)
            this->replicatedConfig->applyOffer(message.config_offer());
        return;
    case proto::Envelope::kObjectsRequest:
    case proto::Envelope::kObjectsOffer:
    case proto::Envelope::kStoreBeat:
        return this->receiveObjects(message);
    case proto::Envelope::kWeightsNotice:
        if (this->engineUpdateHandlers.onWeightsNotice)
            this->engineUpdateHandlers.onWeightsNotice(message.weights_notice());
        return;
    case proto::Envelope::kLoadNews:
        if (this->engineUpdateHandlers.onLoadNews)
            this->engineUpdateHandlers.onLoadNews(message.load_news());
        return;
    case proto::Envelope::kCrashNews:
        if (this->engineUpdateHandlers.onCrashNews)
            this->engineUpdateHandlers.onCrashNews(message.crash_news());
        return;
    case proto::Envelope::kWorkNews:
        if (this->engineUpdateHandlers.onWorkNews)
            this->engineUpdateHandlers.onWorkNews(message.from(), message.work_news());
        return;
    case proto::Envelope::kLimitNews:
    case proto::Envelope::kPermitRequest:
    case proto::Envelope::kPermitAnswer:
        return this->receiveLimits(message);
    case proto::Envelope::kWeightsHistoryRequest:
    case proto::Envelope::kWeightsHistory:
        return this->receiveWeightsHistory(message);
    case proto::Envelope::kRolloutNews:
        if (this->onRolloutNews)
            this->onRolloutNews(message.from(), message.rollout_news());
        return;
    case proto::Envelope::kSeatHints:
        if (message.seat_hints().wants_all()) {
            proto::Envelope answer;
            for (const proto::SeatRecord &record : this->seats->allRecords())
                *answer.mutable_seat_hints()->add_records() = record;
            answer.mutable_seat_hints(); // so that an answer without records has a payload too
            this->send(message.from(), std::move(answer));
        }
        return this->execute(this->seats->onMessage(message, now));
    default:
        return this->execute(this->seats->onMessage(message, now));
    }
}

void Fleet::receiveObjects(const proto::Envelope &message)
{
    if (!this->replicator)
        return;
    if (message.has_objects_request())
        return this->replicator->onRequest(message);
    if (message.has_objects_offer())
        return this->replicator->onOffer(message);
    this->replicator->onHeartbeat(message, monoNow());
}

void Fleet::receiveBorrow(const proto::Envelope &message)
{
    const MonoTime now = monoNow();
    const proto::Borrow &borrow = message.borrow();
    const std::uint32_t seat = seatOf(borrow.organisation());
    const bool isHeld = borrow.region() == this->settings.region && this->seats->isHeld(seat, now);
    proto::Envelope answer;
    *answer.mutable_loan() = this->lender->lend(message.from(), borrow, isHeld, now);
    answer.mutable_loan()->set_region(borrow.region());
    if (!isHeld) {
        if (const auto *record = this->seats->recordOf(borrow.region(), seat))
            *answer.mutable_loan()->mutable_holder() = *record;
    }
    this->send(message.from(), std::move(answer));
}

void Fleet::requestSeatRecords()
{
    const MonoTime now = monoNow();
    const auto alive = this->members->alive();
    if (now < this->nextSeatRequest || alive.empty())
        return;
    this->nextSeatRequest = now + SeatRequestInterval;
    // Any member of a region knows the seats of that region, so one of each is asked.
    std::map<std::string, std::vector<proto::ProcessId>> byRegion;
    for (const proto::Member &member : alive)
        byRegion[member.region()].push_back(member.id());
    for (const auto &[region, ids] : byRegion) {
        proto::Envelope request;
        request.mutable_seat_hints()->set_wants_all(true);
        this->send(ids[this->random(static_cast<std::uint32_t>(ids.size()))], std::move(request));
    }
}

void Fleet::requestNewerConfig()
{
    const MonoTime now = monoNow();
    if (!this->replicatedConfig || now < this->nextConfigRequest)
        return;
    const auto newer = this->members->takeNewerConfig();
    if (!newer || newer->version <= this->replicatedConfig->activeVersion())
        return;
    this->nextConfigRequest = now + ConfigRequestInterval;
    proto::Envelope request;
    *request.mutable_config_request() = this->replicatedConfig->createRequest();
    this->send(newer->from, std::move(request));
}

void Fleet::receiveConfigRequest(const proto::Envelope &message)
{
    if (!this->replicatedConfig)
        return;
    const auto offer = this->replicatedConfig->createOffer(message.config_request());
    if (!offer)
        return;
    proto::Envelope answer;
    *answer.mutable_config_offer() = *offer;
    this->send(message.from(), std::move(answer));
}

void Fleet::broadcast(const proto::WeightsNotice &notice)
{
    proto::Envelope message;
    *message.mutable_weights_notice() = notice;
    this->broadcast(message);
}

void Fleet::broadcast(const proto::LoadNews &news)
{
    proto::Envelope message;
    *message.mutable_load_news() = news;
    this->broadcast(message);
}

void Fleet::broadcast(const proto::CrashNews &news)
{
    proto::Envelope message;
    *message.mutable_crash_news() = news;
    this->broadcast(message);
}

void Fleet::broadcast(const proto::LimitNews &news)
{
    proto::Envelope message;
    *message.mutable_limit_news() = news;
    this->broadcast(message);
}

void Fleet::broadcast(const proto::RolloutNews &news)
{
    proto::Envelope message;
    *message.mutable_rollout_news() = news;
    this->broadcast(message);
}

std::optional<proto::ProcessId> Fleet::assigneeOf(std::string_view task,
                                                  const std::string *region) const
{
    std::vector<std::string> names;
    std::map<std::string, proto::ProcessId> ids;
    for (const proto::Member &member : this->members->alive()) {
        if (member.leaving() || (region && member.region() != *region))
            continue;
        names.push_back(member.id().name());
        ids[member.id().name()] = member.id();
    }
    const bool isInRegion = !region || *region == this->settings.region;
    if (isInRegion && (!this->isLeaving || names.empty())) {
        names.push_back(this->settings.instance);
        ids[this->settings.instance] = this->self;
    }
    if (names.empty())
        return std::nullopt;
    return ids.at(assignee(names, task));
}

void Fleet::sendToAssigned(std::string_view task, const proto::PermitRequest &request)
{
    proto::Envelope message;
    *message.mutable_permit_request() = request;
    if (const auto to = this->assigneeOf(task, nullptr))
        this->send(*to, std::move(message));
}

void Fleet::sendToAssigned(std::string_view task, const std::string &region,
                           const proto::WorkNews &news)
{
    proto::Envelope message;
    *message.mutable_work_news() = news;
    if (const auto to = this->assigneeOf(task, &region))
        this->send(*to, std::move(message));
}

void Fleet::send(const proto::ProcessId &to, const proto::PermitAnswer &answer)
{
    proto::Envelope message;
    *message.mutable_permit_answer() = answer;
    this->send(to, std::move(message));
}

void Fleet::receiveLimits(const proto::Envelope &message)
{
    if (!this->limitHandlers.onNews)
        return;
    if (message.has_permit_request())
        return this->limitHandlers.onPermitRequest(message.from(), message.permit_request());
    if (message.has_permit_answer())
        return this->limitHandlers.onPermitAnswer(message.permit_answer());
    this->limitHandlers.onNews(message.limit_news());
}

void Fleet::send(const proto::ProcessId &to, const proto::WeightsHistoryRequest &request)
{
    proto::Envelope message;
    *message.mutable_weights_history_request() = request;
    this->send(to, std::move(message));
}

void Fleet::send(const proto::ProcessId &to, const proto::WeightsHistory &answer)
{
    proto::Envelope message;
    *message.mutable_weights_history() = answer;
    this->send(to, std::move(message));
}

void Fleet::receiveWeightsHistory(const proto::Envelope &message)
{
    if (!this->historyHandlers.onRequest)
        return;
    if (message.has_weights_history_request())
        return this->historyHandlers.onRequest(message.from(), message.weights_history_request());
    this->historyHandlers.onAnswer(message.from(), message.weights_history());
}

void Fleet::broadcast(const proto::Envelope &message)
{
    for (const proto::Member &member : this->members->alive())
        this->send(member.id(), message);
}

} // namespace lavenderhall
