#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Plain values for HTTP requests and answers, shared by the server and the client side.
namespace lavenderhall::http {

enum class Method { Get, Head, Post, Put, Patch, Delete, Options, Other };

/// Returns the method's name on the wire, e.g. "GET".
const char *toString(Method method);

struct Header
{
    std::string name; ///< lower case
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// Returns the value of the header \a name (lower case) or "".
std::string_view findHeader(const Headers &headers, std::string_view name);

/// A whole request as a server received it.
struct Request
{
    Method method = Method::Get;
    std::string target; ///< path and query as sent
    std::string path; ///< as sent, without the query
    std::string query; ///< without the "?"
    Headers headers;
    std::string body;
};

/// Returns the value of \a name in a query string "a=1&b=2", or "".
std::string queryValue(std::string_view query, std::string_view name);

/// Returns \a text with each valid "%XX" replaced by its byte; other bytes stay as they are.
std::string percentDecoded(std::string_view text);

/// A whole answer.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
};

} // namespace lavenderhall::http
