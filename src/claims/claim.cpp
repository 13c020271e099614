#include "claims/claim.h"

#include "base/digest.h"
#include "base/json.h"
#include "base/outsidetext.h"

#include <sodium.h>

namespace lavenderhall {

namespace {

/// Bounds the calls to the store to make a claim, and again those to record its outcome.
constexpr int MaxTries = 6;
/// Longer answers are not stored, so that they cannot be replayed.
constexpr std::size_t MaxStoredBodyBytes = 128U << 10U;
/// In the order of ClaimState.
const std::vector<std::string> StateNames{"claimed", "done", "not_run"};

std::string toBase64(const std::string &data)
{
    std::string text(sodium_base64_encoded_len(data.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(data.data()), data.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string data(text.size(), '\0');
    std::size_t size = 0;
    const int code = sodium_base642bin(reinterpret_cast<unsigned char *>(data.data()), data.size(),
                                       text.data(), text.size(), nullptr, &size, nullptr,
                                       sodium_base64_VARIANT_ORIGINAL);
    data.resize(code == 0 ? size : 0);
    return data;
}

} // namespace

std::string toText(const ClaimRecord &record)
{
    const Json json{{"token", record.token},
                    {"fingerprint", record.fingerprint},
                    {"instance", record.instance},
                    {"claimed_at_ms", record.claimedAtMillis},
                    {"state", StateNames[static_cast<std::size_t>(record.state)]},
                    {"status", record.status},
                    {"content_type", toUtf8(record.contentType)},
                    {"has_body", record.hasBody},
                    {"body", toBase64(record.body)}};
    return writeJson(json);
}

Result<ClaimRecord> parseClaim(std::string_view text, const std::string &object)
{
    BOOST_LEAF_AUTO(json, parseJson(text, object));
    ObjectReader reader(json, object, "");
    ClaimRecord record;
    record.token = reader.text("token");
    record.fingerprint = reader.text("fingerprint");
    record.instance = reader.text("instance", "");
    record.claimedAtMillis = reader.integer("claimed_at_ms", {0});
    record.state = static_cast<ClaimState>(reader.choice("state", StateNames));
    record.status = static_cast<int>(reader.integer("status", {0, 999}, 0));
    record.contentType = fromUtf8(reader.text("content_type", ""));
    record.hasBody = reader.boolean("has_body", false);
    record.body = fromBase64(reader.text("body", ""));
    reader.finish();
    if (!reader.isGood())
        return fail(ErrorCode::BadInput, "read claim", reader.firstError());
    return record;
}

std::string claimObjectName(const std::string &organisation, const std::string &route,
                            const std::string &idempotencyKey)
{
    return "claims/" + organisation + "/" + sha256Hex(route + "\n" + idempotencyKey);
}

std::string requestFingerprint(const std::string &method, const std::string &path,
                               const std::string &body)
{
    return sha256Hex(method + "\n" + path + "\n" + body);
}

ClaimFlow::ClaimFlow(std::string object, ClaimRecord ownRecord)
    : objectName(std::move(object))
    , ownRecord(std::move(ownRecord))
    , activeRecord(this->ownRecord)
    , triesLeft(MaxTries)
{ }

ClaimStep ClaimFlow::begin()
{
    return ClaimStep::Write;
}

ClaimStep ClaimFlow::refuse(ClaimRefusal reason)
{
    this->refusalReason = reason;
    return ClaimStep::Refuse;
}

ClaimStep ClaimFlow::send(std::int64_t newVersion)
{
    this->version = newVersion;
    this->activeRecord = this->ownRecord;
    if (this->wasSent)
        return ClaimStep::Stop;
    this->wasSent = true;
    return ClaimStep::Send;
}

ClaimStep ClaimFlow::onWritten(const StoreReply &reply)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        return this->send(reply.version);
    case StoreStatus::Conflict:
    case StoreStatus::Unknown:
        // The token shows whether the existing claim was written by this flow, whose answer was
        // lost, or by another request.
        return ClaimStep::Read;
    default:
        return this->refuse(ClaimRefusal::StoreUnavailable);
    }
}

ClaimStep ClaimFlow::onRead(const StoreReply &reply)
{
    if (--this->triesLeft <= 0)
        return this->refuse(ClaimRefusal::StoreUnavailable);
    if (reply.status == StoreStatus::NotFound) {
        this->version = CreateVersion;
        this->activeRecord = this->ownRecord;
        return ClaimStep::Write;
    }
    if (reply.status == StoreStatus::Unknown)
        return ClaimStep::Read;
    if (reply.status != StoreStatus::Ok)
        return this->refuse(ClaimRefusal::StoreUnavailable);
    const auto parsed = toOutcome([&] { return parseClaim(reply.body, this->objectName); });
    const auto *found = std::get_if<ClaimRecord>(&parsed);
    // A claim that cannot be parsed may belong to a request that was sent.
    if (!found)
        return this->refuse(ClaimRefusal::InProgress);
    if (found->token == this->ownRecord.token)
        return this->send(reply.version);
    if (found->fingerprint != this->ownRecord.fingerprint)
        return this->refuse(ClaimRefusal::KeyReused);
    if (found->state == ClaimState::Claimed)
        return this->refuse(ClaimRefusal::InProgress);
    if (found->state == ClaimState::NotRun) {
        this->version = reply.version;
        this->activeRecord = this->ownRecord;
        return ClaimStep::Write;
    }
    this->activeRecord = *found;
    return ClaimStep::Replay;
}

ClaimStep ClaimFlow::onDone(int status, const std::string &contentType, const std::string &body)
{
    this->triesLeft = MaxTries;
    this->ownRecord.state = ClaimState::Done;
    this->ownRecord.status = status;
    this->ownRecord.contentType = contentType;
    this->ownRecord.hasBody = body.size() <= MaxStoredBodyBytes;
    if (this->ownRecord.hasBody)
        this->ownRecord.body = body;
    this->activeRecord = this->ownRecord;
    return ClaimStep::Write;
}

ClaimStep ClaimFlow::onNotRun()
{
    this->triesLeft = MaxTries;
    this->ownRecord.state = ClaimState::NotRun;
    this->activeRecord = this->ownRecord;
    return ClaimStep::Write;
}

ClaimStep ClaimFlow::onOutcomeWritten(const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok || --this->triesLeft <= 0)
        return ClaimStep::Stop;
    return ClaimStep::Read;
}

ClaimStep ClaimFlow::onOutcomeRead(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NotFound || --this->triesLeft <= 0)
        return ClaimStep::Stop;
    if (reply.status != StoreStatus::Ok)
        return ClaimStep::Read;
    const auto parsed = toOutcome([&] { return parseClaim(reply.body, this->objectName); });
    const auto *found = std::get_if<ClaimRecord>(&parsed);
    // Only the request that made the claim records its outcome, and only once.
    if (!found || found->token != this->ownRecord.token || found->state == this->ownRecord.state)
        return ClaimStep::Stop;
    this->version = reply.version;
    return ClaimStep::Write;
}

} // namespace lavenderhall
