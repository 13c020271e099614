#include "router/objectspread.h"

#include <algorithm>
#include <utility>

namespace lavenderhall {

namespace {

constexpr Millis QuestionInterval{200};
constexpr Millis BeatInterval{500};

} // namespace

ObjectSpread::ObjectSpread(ObjectSharing sharing, SpreadLinks links)
    : sharing(std::move(sharing))
    , links(std::move(links))
    , published(this->sharing.kinds.size())
    , nextListQuestion(this->sharing.kinds.size())
{ }

std::vector<std::int64_t> ObjectSpread::revisions() const
{
    std::vector<std::int64_t> known;
    for (std::size_t kind = 0; kind < this->sharing.kinds.size(); ++kind)
        known.push_back(this->sharing.revision(kind));
    return known;
}

std::optional<std::size_t> ObjectSpread::kindOf(const std::string &name) const
{
    const auto found = std::find(this->sharing.kinds.begin(), this->sharing.kinds.end(), name);
    if (found == this->sharing.kinds.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - this->sharing.kinds.begin());
}

void ObjectSpread::tellRegion(const proto::Envelope &message) const
{
    for (const proto::ProcessId &other : this->links.othersInRegion())
        this->links.send(other, message);
}

void ObjectSpread::onTick(const std::vector<Membership::NewerRevision> &heard, MonoTime now)
{
    this->news.insert(this->news.end(), heard.begin(), heard.end());
    if (now >= this->nextQuestion) {
        this->nextQuestion = now + QuestionInterval;
        this->askForNews();
    }
    if (now >= this->nextBeat) {
        this->nextBeat = now + BeatInterval;
        this->beat();
    }
}

// The own watch is usually a little ahead or behind; only what it has not brought by the next
// look is asked for.
void ObjectSpread::askForNews()
{
    std::vector<bool> isAsked(this->sharing.kinds.size(), false);
    for (const Membership::NewerRevision &told : std::exchange(this->news, {})) {
        const std::int64_t known = this->sharing.revision(told.kind);
        if (told.revision <= known || isAsked[told.kind])
            continue;
        isAsked[told.kind] = true;
        proto::Envelope question;
        question.mutable_objects_request()->set_kind(this->sharing.kinds[told.kind]);
        question.mutable_objects_request()->set_after(known);
        this->links.send(told.from, question);
    }
}

void ObjectSpread::publish(std::size_t kind)
{
    const std::int64_t known = this->sharing.revision(kind);
    const std::int64_t after = std::exchange(this->published[kind], known);
    if (known <= after || !this->links.isOnDuty())
        return;
    proto::Envelope message;
    *message.mutable_objects_offer() = this->sharing.answer(kind, after);
    this->tellRegion(message);
}

void ObjectSpread::beat()
{
    const bool isOnDuty = this->links.isOnDuty();
    this->sharing.onDuty(isOnDuty);
    if (!isOnDuty || !this->sharing.isCurrent())
        return;
    proto::Envelope message;
    for (std::size_t kind = 0; kind < this->sharing.kinds.size(); ++kind) {
        message.mutable_store_beat()->add_revisions(this->sharing.revision(kind));
        message.mutable_store_beat()->add_listed(this->sharing.listed(kind));
    }
    this->tellRegion(message);
}

void ObjectSpread::onRequest(const proto::Envelope &message)
{
    const proto::ObjectsRequest &request = message.objects_request();
    const auto kind = this->kindOf(request.kind());
    if (!kind)
        return;
    proto::Envelope answer;
    *answer.mutable_objects_offer() = request.wants_all()
        ? this->sharing.answerAll(*kind)
        : this->sharing.answer(*kind, request.after());
    this->links.send(message.from(), answer);
}

// An offer that begins after what is known here would leave a gap.
void ObjectSpread::onOffer(const proto::Envelope &message)
{
    const proto::ObjectsOffer &offer = message.objects_offer();
    const auto kind = this->kindOf(offer.kind());
    if (!kind)
        return;
    if (offer.is_whole() || offer.after() <= this->sharing.revision(*kind))
        return this->sharing.take(*kind, offer);
    this->news.push_back({*kind, offer.after(), message.from()});
}

void ObjectSpread::onBeat(const proto::Envelope &message, MonoTime now)
{
    const proto::StoreBeat &told = message.store_beat();
    const auto kinds = static_cast<int>(this->sharing.kinds.size());
    if (told.revisions_size() != kinds || told.listed_size() != kinds)
        return;
    this->sharing.onBeat();
    for (int index = 0; index < kinds; ++index) {
        const auto kind = static_cast<std::size_t>(index);
        this->news.push_back({kind, told.revisions(index), message.from()});
        if (told.listed(index) > this->sharing.listed(kind))
            this->askForAll(kind, message.from(), now);
    }
}

void ObjectSpread::askForAll(std::size_t kind, const proto::ProcessId &from, MonoTime now)
{
    if (now < this->nextListQuestion[kind])
        return;
    this->nextListQuestion[kind] = now + QuestionInterval;
    proto::Envelope question;
    question.mutable_objects_request()->set_kind(this->sharing.kinds[kind]);
    question.mutable_objects_request()->set_wants_all(true);
    this->links.send(from, question);
}

} // namespace lavenderhall
