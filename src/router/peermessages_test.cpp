#include "forward/crashmonitor.h"
#include "forward/limitmonitor.h"
#include "limits/borrower.h"
#include "limits/lender.h"
#include "limits/seats.h"
#include "membership/membership.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <limits>
#include <pcg_random.hpp>

using namespace lavenderhall;

namespace {

template <typename Value> Value oneOf(const std::vector<Value> &values, pcg32 &random)
{
    return values[random(static_cast<unsigned>(values.size()))];
}

std::int64_t anyInteger(pcg32 &random)
{
    using Limits = std::numeric_limits<std::int64_t>;
    static const std::vector<std::int64_t> Values{
        0, 1, 2, 3, 100, -1, Limits::max(), Limits::min(), Limits::max() / 1000, 1LL << 53};
    return oneOf(Values, random);
}

double anyNumber(pcg32 &random)
{
    using Limits = std::numeric_limits<double>;
    static const std::vector<double> Values{
        0, 5, -5, Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity(), 1e308, 1e-308};
    return oneOf(Values, random);
}

std::string anyText(pcg32 &random)
{
    static const std::vector<std::string> Values{"",    "east",     "self",    "other",
                                                 "org", "10.0.0.9", "no host", "\xC3\xBC"};
    return oneOf(Values, random);
}

using google::protobuf::FieldDescriptor;

void setValue(google::protobuf::Message &message, const FieldDescriptor &field, pcg32 &random)
{
    const google::protobuf::Reflection &fields = *message.GetReflection();
    const bool isList = field.is_repeated();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT64:
        return isList ? fields.AddInt64(&message, &field, anyInteger(random))
                      : fields.SetInt64(&message, &field, anyInteger(random));
    case FieldDescriptor::CPPTYPE_UINT64:
        return fields.SetUInt64(&message, &field, static_cast<std::uint64_t>(anyInteger(random)));
    case FieldDescriptor::CPPTYPE_UINT32:
        return fields.SetUInt32(&message, &field, static_cast<std::uint32_t>(anyInteger(random)));
    case FieldDescriptor::CPPTYPE_INT32:
        return fields.SetInt32(&message, &field, static_cast<std::int32_t>(anyInteger(random)));
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return fields.SetDouble(&message, &field, anyNumber(random));
    case FieldDescriptor::CPPTYPE_BOOL:
        return fields.SetBool(&message, &field, random(2) == 0);
    case FieldDescriptor::CPPTYPE_ENUM: // also values of newer versions
        return fields.SetEnumValue(&message, &field, static_cast<int>(random(9)) - 1);
    case FieldDescriptor::CPPTYPE_STRING:
        return isList ? fields.AddString(&message, &field, anyText(random))
                      : fields.SetString(&message, &field, anyText(random));
    default:
        return;
    }
}

/// Sets some of the fields, as a version that lacks the others would, to any values.
void fill(google::protobuf::Message &message, pcg32 &random)
{
    const google::protobuf::Descriptor &type = *message.GetDescriptor();
    for (int index = 0; index < type.field_count(); ++index) {
        const FieldDescriptor &field = *type.field(index);
        if (field.containing_oneof() || random(4) == 0)
            continue;
        const unsigned count = field.is_repeated() ? random(4) : 1;
        for (unsigned entry = 0; entry < count; ++entry) {
            if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
                setValue(message, field, random);
                continue;
            }
            const google::protobuf::Reflection &fields = *message.GetReflection();
            fill(field.is_repeated() ? *fields.AddMessage(&message, &field)
                                     : *fields.MutableMessage(&message, &field),
                 random);
        }
    }
}

proto::Envelope anyEnvelope(pcg32 &random)
{
    proto::Envelope envelope;
    fill(envelope, random);
    const auto &payloads = *envelope.GetDescriptor()->oneof_decl(0);
    const FieldDescriptor &payload
        = *payloads.field(static_cast<int>(random(static_cast<unsigned>(payloads.field_count()))));
    fill(*envelope.GetReflection()->MutableMessage(&envelope, &payload), random);
    return envelope;
}

proto::Member selfMember()
{
    proto::Member member;
    *member.mutable_id() = processId("self", 1);
    member.set_host("10.0.0.1");
    member.set_port(1);
    return member;
}

/// The parts of an instance that handle messages of others.
struct Receiver
{
    EndpointLimits limits;
    Membership membership{selfMember(), {}, MemberTimings{}, 1};
    SeatKeeper seats{{processId("self", 1), "east", "10.0.0.1", 1, "boot"}, {}};
    Lender lender{"east", {}};
    Borrower borrower{1, {}};
    CrashMonitor crashes{{[](const proto::CrashNews &) {}, [] { return true; },
                          [](const PartId &) { return true; }, [] {}}};
    LimitMonitor permits{this->limits,
                         {[](const proto::LimitNews &) {},
                          [](const Incarnation &, const proto::PermitRequest &) {},
                          [](const proto::ProcessId &, const proto::PermitAnswer &) {}}};
    std::uint64_t requests = 0;

    explicit Receiver(MonoTime now)
    {
        this->borrower.setRegions({"east", "west"});
        Organisation organisation;
        organisation.name = "org";
        organisation.tokensPerSecond = 10;
        organisation.burstTokens = 100;
        this->lender.configure({{"east", 1}}, {organisation}, now, {});
    }

    void receive(const proto::Envelope &message, MonoTime now)
    {
        this->membership.onMessage(message, now);
        this->seats.onMessage(message, now);
        if (message.has_borrow())
            this->lender.lend(message.from(), message.borrow(), true, now);
        if (message.has_settle())
            this->lender.settle(message.from(), message.settle(), now);
        if (message.has_refund())
            this->lender.refund(message.from(), message.refund(), now);
        if (message.has_loan()) {
            this->seats.adoptIfNewer(message.loan().holder(), now);
            this->borrower.onLoan(message.loan(), now);
        }
        if (message.has_crash_news())
            this->crashes.onNews(message.crash_news(), now);
        if (message.has_limit_news())
            this->permits.onNews(message.limit_news(), now);
        if (message.has_permit_request())
            this->permits.onPermitRequest(message.from(), message.permit_request(), now);
        if (message.has_permit_answer())
            this->permits.onPermitAnswer(message.permit_answer(), now);
    }

    void tick(MonoTime now)
    {
        this->membership.onTick(now);
        this->seats.onTick(now);
        for (const SeatChange &change : this->seats.takeChanges())
            this->lender.onSeatChange(change, now);
        this->borrower.start(++this->requests, "org", 5, Millis(100), now);
        this->borrower.onTick(now);
        this->crashes.onTick(now);
        this->permits.onTick(now);
    }
};

} // namespace

Test(peermessages, messages_with_any_values_of_any_fields_end_no_process)
{
    MonoTime now{Millis(1'000'000)};
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        pcg32 random(seed);
        Receiver receiver(now);
        for (int round = 0; round < 300; ++round) {
            const std::string bytes = anyEnvelope(random).SerializeAsString();
            proto::Envelope received;
            cr_assert(received.ParseFromString(bytes));
            receiver.receive(received, now);
            const std::string cut
                = bytes.substr(0, random(static_cast<unsigned>(bytes.size()) + 1));
            if (received.ParseFromString(cut))
                receiver.receive(received, now);
            now += Millis(random(200));
            receiver.tick(now);
            proto::Borrow borrow;
            borrow.set_organisation("org");
            borrow.set_loan(1'000'000 + static_cast<std::uint64_t>(round));
            borrow.set_tokens(200);
            const double granted = receiver.lender.lend({}, borrow, true, now).tokens();
            cr_assert(granted >= 0 && granted <= 100, "seed %lu", static_cast<unsigned long>(seed));
        }
    }
}

// Text in messages must be encoded by toUtf8() for this reason.
Test(peermessages, a_message_with_text_that_is_not_utf8_is_refused_as_a_whole)
{
    proto::Envelope message;
    message.mutable_crash_news()->add_lost()->add_parts("\xFF");
    proto::Envelope received;
    cr_assert(not(received.ParseFromString(message.SerializeAsString())));
}
