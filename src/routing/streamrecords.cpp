#include "routing/streamrecords.h"

namespace lavenderhall {

namespace {

constexpr std::size_t MaxOwnStreams = 8192; ///< the oldest are dropped
constexpr std::size_t MaxListedStreams = 65'536; ///< of all instances

} // namespace

void StreamRecords::onSent(const std::string &stream, const std::string &service,
                           const std::string &build, MonoTime now)
{
    this->own[stream] = {service, build, now};
    this->sendings.push_back({stream, now});
    ++this->changeCounts[service];
    this->forgetOld(now);
}

bool StreamRecords::onNotBegun(const std::string &stream)
{
    const auto found = this->own.find(stream);
    if (found == this->own.end())
        return false;
    ++this->changeCounts[found->second.service];
    this->own.erase(found);
    return true;
}

void StreamRecords::onEarlierProcess(const StreamsByBuild &streams, MonoTime now)
{
    for (const auto &[build, ids] : streams) {
        for (const std::string &stream : ids) {
            if (this->own.try_emplace(stream, Sent{{}, build, now}).second)
                this->sendings.push_back({stream, now});
        }
    }
}

void StreamRecords::forgetOld(MonoTime now)
{
    while (!this->sendings.empty()) {
        const Sending &oldest = this->sendings.front();
        if (now - oldest.at < this->streamLifetime && this->own.size() <= MaxOwnStreams)
            break;
        const auto found = this->own.find(oldest.stream);
        if (found != this->own.end() && found->second.at == oldest.at)
            this->own.erase(found);
        this->sendings.pop_front();
    }
}

// An instance that sent a stream in vain may not have removed it from the store yet when another
// one begins it, or never will. Which of the two began it cannot be told then.
void StreamRecords::onListed(const std::vector<StreamsByBuild> &instances)
{
    this->listed.clear();
    for (const StreamsByBuild &streams : instances) {
        for (const auto &[build, ids] : streams) {
            for (const std::string &stream : ids)
                this->addListed(stream, build);
        }
    }
}

void StreamRecords::addListed(const std::string &stream, const std::string &build)
{
    if (this->listed.size() >= MaxListedStreams)
        return;
    const auto [entry, isNew] = this->listed.try_emplace(stream, build);
    if (!isNew && entry->second != build)
        entry->second.reset();
}

std::optional<std::string> StreamRecords::findOwn(const std::string &stream) const
{
    const auto found = this->own.find(stream);
    const bool isOwn = found != this->own.end() && !found->second.service.empty();
    return isOwn ? std::optional(found->second.build) : std::nullopt;
}

std::optional<std::string> StreamRecords::findListed(const std::string &stream) const
{
    const auto found = this->listed.find(stream);
    return found == this->listed.end() ? std::nullopt : found->second;
}

StreamsByBuild StreamRecords::ownStreams(const std::set<std::string> &services, MonoTime now)
{
    this->forgetOld(now);
    StreamsByBuild streams;
    for (const auto &[stream, sent] : this->own) {
        if (sent.service.empty() || services.contains(sent.service))
            streams[sent.build].push_back(stream);
    }
    return streams;
}

std::size_t StreamRecords::changeCount(const std::set<std::string> &services) const
{
    std::size_t count = 0;
    for (const auto &[service, changes] : this->changeCounts)
        count += services.contains(service) ? changes : 0;
    return count;
}

} // namespace lavenderhall
