#pragma once

#include "base/json.h"
#include "http/rawstream.h"
#include "http/server.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A store for tests of lists: it reads the target of a call as the URL that it is, and answers in
/// pages.
namespace lavenderhall {

/// Returns the bytes that a part of a query stands for; nothing if it is no part of a query.
inline std::optional<std::string> decodedQuery(std::string text)
{
    constexpr std::string_view HexDigits = "0123456789abcdefABCDEF";
    const auto isHex = [&](std::size_t index) {
        return index < text.size() && HexDigits.find(text[index]) != std::string_view::npos;
    };
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto byte = static_cast<unsigned char>(text[index]);
        if (byte <= ' ' || byte > '~' || byte == '"' || byte == '#')
            return std::nullopt;
        if (byte == '%' && !(isHex(index + 1) && isHex(index + 2)))
            return std::nullopt;
        if (byte == '+')
            text[index] = ' ';
    }
    return http::percentDecoded(text);
}

/// Keeps entries of one kind, and answers lists of them in the order of their names. Watches stay
/// without an answer.
class PagedStore
{
public:
    PagedStore(http::Loop &loop, std::size_t pageSize)
        : pageSize(pageSize)
        , server(loop, this->address, http::limitsWithMaxBody(1000),
                 [this](const http::ExchangePtr &exchange) { this->serve(exchange); })
    { }

    /// Adds an entry with \a spec, which may be any bytes.
    void put(const std::string &name, const std::string &spec = "{}")
    {
        this->putRaw(name,
                     R"({"metadata":{"name":)" + Json(name).dump() + R"(,"revision":)"
                         + std::to_string(++this->revision) + R"(},"spec":)" + spec + "}");
    }
    /// Adds an entry that is sent as \a text.
    void putRaw(const std::string &name, std::string text)
    {
        this->entries[name] = std::move(text);
    }

    const Address address{http::ownHost(), 18119};
    bool ignoresAfter = false; ///< each page is the first one
    std::size_t answeredPages = static_cast<std::size_t>(-1); ///< further ones are refused with 503
    int lists = 0; ///< calls for a page
    int watches = 0;

private:
    void serve(const http::ExchangePtr &exchange)
    {
        const http::Request &request = exchange->request();
        if (request.query.starts_with("watch=")) {
            ++this->watches;
            this->open.push_back(exchange);
            return;
        }
        ++this->lists;
        const auto after = decodedQuery(rawAfter(request.query));
        if (!after)
            return exchange->respond({400, {}, "{}"});
        if (static_cast<std::size_t>(this->lists) > this->answeredPages)
            return exchange->respond({503, {}, "{}"});
        exchange->respond({200, {}, this->page(this->ignoresAfter ? "" : *after)});
    }

    /// Returns the value of the parameter "after" as it was sent.
    static std::string rawAfter(const std::string &query)
    {
        constexpr std::string_view Name = "after=";
        if (!query.starts_with(Name))
            return {};
        return query.substr(Name.size(), query.find('&') - Name.size());
    }

    std::string page(const std::string &after) const
    {
        std::string items;
        std::size_t count = 0;
        auto entry = this->entries.upper_bound(after);
        for (; entry != this->entries.end() && count < this->pageSize; ++entry, ++count)
            items.append(count == 0 ? "" : ",").append(entry->second);
        const bool hasMore = entry != this->entries.end();
        return R"({"items":[)" + items + R"(],"more":)" + (hasMore ? "true" : "false")
            + R"(,"store_revision":)" + std::to_string(this->revision) + "}";
    }

    const std::size_t pageSize;
    std::map<std::string, std::string> entries; ///< as they are sent, by name
    std::int64_t revision = 100;
    std::vector<http::ExchangePtr> open;
    http::Server server;
};

} // namespace lavenderhall
