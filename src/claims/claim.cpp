#include "claims/claim.h"

#include "base/digest.h"
#include "base/json.h"

#include <sodium.h>

namespace lavenderhall {

namespace {

constexpr int MaxTries = 6;
constexpr std::size_t MaxKeptBodyBytes = 128U << 10U;
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
                    {"content_type", record.contentType},
                    {"has_body", record.hasBody},
                    {"body", toBase64(record.body)}};
    return json.dump();
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
    record.contentType = reader.text("content_type", "");
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

ClaimFlow::ClaimFlow(std::string object, ClaimRecord own)
    : objectName(std::move(object))
    , own(std::move(own))
    , current(this->own)
    , triesLeft(MaxTries)
{ }

ClaimStep ClaimFlow::begin()
{
    return ClaimStep::Create;
}

ClaimStep ClaimFlow::refuse(ClaimRefusal reason)
{
    this->refused = reason;
    return ClaimStep::Refuse;
}

ClaimStep ClaimFlow::send(std::int64_t newVersion)
{
    this->version = newVersion;
    this->current = this->own;
    if (this->sent)
        return ClaimStep::Stop;
    this->sent = true;
    return ClaimStep::Send;
}

ClaimStep ClaimFlow::onWritten(const StoreReply &reply)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        return this->send(reply.version);
    case StoreStatus::Conflict:
    case StoreStatus::Unknown:
        // An answer lost after the write is told from another's claim by the token.
        return ClaimStep::Read;
    default:
        return this->refuse(ClaimRefusal::StoreAway);
    }
}

ClaimStep ClaimFlow::onRead(const StoreReply &reply)
{
    if (--this->triesLeft <= 0)
        return this->refuse(ClaimRefusal::StoreAway);
    if (reply.status == StoreStatus::NotFound) {
        this->version = CreateVersion;
        this->current = this->own;
        return ClaimStep::Create;
    }
    if (reply.status == StoreStatus::Unknown)
        return ClaimStep::Read;
    if (reply.status != StoreStatus::Ok)
        return this->refuse(ClaimRefusal::StoreAway);
    const auto parsed = attempt([&] { return parseClaim(reply.body, this->objectName); });
    const auto *found = std::get_if<ClaimRecord>(&parsed);
    if (!found)
        return this->refuse(ClaimRefusal::InProgress);
    if (found->token == this->own.token)
        return this->send(reply.version);
    if (found->fingerprint != this->own.fingerprint)
        return this->refuse(ClaimRefusal::KeyReused);
    if (found->state == ClaimState::Claimed)
        return this->refuse(ClaimRefusal::InProgress);
    if (found->state == ClaimState::NotRun) {
        this->version = reply.version;
        this->current = this->own;
        return ClaimStep::Create;
    }
    this->current = *found;
    return ClaimStep::Replay;
}

ClaimStep ClaimFlow::onDone(int status, const std::string &contentType, const std::string &body)
{
    this->triesLeft = MaxTries;
    this->own.state = ClaimState::Done;
    this->own.status = status;
    this->own.contentType = contentType;
    this->own.hasBody = body.size() <= MaxKeptBodyBytes;
    if (this->own.hasBody)
        this->own.body = body;
    this->current = this->own;
    return ClaimStep::Create;
}

ClaimStep ClaimFlow::onNotRun()
{
    this->triesLeft = MaxTries;
    this->own.state = ClaimState::NotRun;
    this->current = this->own;
    return ClaimStep::Create;
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
    const auto parsed = attempt([&] { return parseClaim(reply.body, this->objectName); });
    const auto *found = std::get_if<ClaimRecord>(&parsed);
    // Only the claim's owner records its outcome, and only once.
    if (!found || found->token != this->own.token || found->state == this->own.state)
        return ClaimStep::Stop;
    this->version = reply.version;
    return ClaimStep::Create;
}

} // namespace lavenderhall
