#include "limits/seatrecord.h"

#include "base/digest.h"
#include "base/json.h"

namespace lavenderhall {

namespace {

Json toJson(const proto::ProcessId &id)
{
    return {{"name", id.name()}, {"incarnation", hex64(id.incarnation())}};
}

proto::ProcessId readProcessId(ObjectReader &reader)
{
    proto::ProcessId id;
    id.set_name(reader.text("name", ""));
    id.set_incarnation(std::strtoull(reader.text("incarnation", "0").c_str(), nullptr, 16));
    return id;
}

} // namespace

std::uint32_t seatOf(std::string_view organisation)
{
    return static_cast<std::uint32_t>(hash64(organisation) % SeatsPerRegion);
}

std::string seatObjectName(const std::string &region, std::uint32_t index)
{
    return "limits/" + region + "/" + std::to_string(index);
}

std::string toText(const proto::SeatRecord &record)
{
    const Json json{{"region", record.region()},
                    {"index", record.index()},
                    {"term", record.term()},
                    {"holder", toJson(record.holder())},
                    {"witness", toJson(record.witness())},
                    {"host", record.holder_host()},
                    {"port", record.holder_port()},
                    {"boot", record.holder_boot()},
                    {"renewals", record.renewals()},
                    {"fresh", record.fresh()}};
    return writeJson(json);
}

Result<proto::SeatRecord> parseSeatRecord(std::string_view text, const std::string &object)
{
    BOOST_LEAF_AUTO(json, parseJson(text, object));
    ObjectReader reader(json, object, "");
    proto::SeatRecord record;
    record.set_region(reader.text("region"));
    record.set_index(static_cast<std::uint32_t>(reader.integer("index", {0, SeatsPerRegion - 1})));
    record.set_term(reader.integer("term", {1, MaxSeatTerm}));
    reader.object("holder",
                  [&](ObjectReader &entry) { *record.mutable_holder() = readProcessId(entry); });
    reader.object("witness",
                  [&](ObjectReader &entry) { *record.mutable_witness() = readProcessId(entry); });
    record.set_holder_host(reader.text("host", ""));
    record.set_holder_port(static_cast<std::uint32_t>(reader.integer("port", {0, 65535}, 0)));
    record.set_holder_boot(reader.text("boot", ""));
    record.set_renewals(reader.integer("renewals", {0, MaxSeatTerm}, 0));
    record.set_fresh(reader.boolean("fresh", false));
    reader.finish();
    if (!reader.isGood())
        return fail(ErrorCode::BadInput, "read seat", reader.firstError());
    return record;
}

bool isSameProcess(const proto::ProcessId &one, const proto::ProcessId &other)
{
    return one.incarnation() == other.incarnation() && one.name() == other.name();
}

proto::ProcessId processId(std::string name, std::uint64_t incarnation)
{
    proto::ProcessId id;
    id.set_name(std::move(name));
    id.set_incarnation(incarnation);
    return id;
}

proto::Envelope makeEnvelope(const proto::ProcessId &from)
{
    proto::Envelope envelope;
    *envelope.mutable_from() = from;
    return envelope;
}

} // namespace lavenderhall
