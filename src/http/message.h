#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// HTTP requests and answers as plain values, shared by the server and the client.
namespace lavenderhall::http {

/// Other stands for all methods that the server refuses: it can't pass them on as they came, and
/// after CONNECT the bytes are no HTTP.
enum class Method { Get, Head, Post, Put, Patch, Delete, Options, Other };

/// Returns the name of \a method on the wire, e.g. "GET"; "OTHER" for a method not listed here.
const char *toString(Method method);

struct Header
{
    std::string name; ///< lower case
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// Returns the value of the first header called \a name (in lower case), or "" if there is none.
std::string_view findHeader(const Headers &headers, std::string_view name);

/// A complete request as the server received it.
struct Request
{
    Method method = Method::Get;
    std::string target; ///< path and query as sent
    std::string path; ///< as sent, without the query
    std::string query; ///< without the "?"
    Headers headers;
    std::string body;
};

/// Returns the decoded value of the first parameter \a name in a query string such as "a=1&b=2", or
/// "" if there is none.
std::string queryValue(std::string_view query, std::string_view name);

/// Returns \a text as one segment of a path or one value in a query: each byte that is not an
/// unreserved character of RFC 3986 becomes "%XX". percentDecoded() undoes it.
std::string percentEncoded(std::string_view text);

/// Returns \a path with each of its segments encoded; the slashes between them stay.
std::string percentEncodedPath(std::string_view path);

/// Returns \a text with each valid "%XX" replaced by its byte; other bytes stay as they are.
std::string percentDecoded(std::string_view text);

/// A complete answer.
struct Response
{
    int status = 200;
    Headers headers;
    std::string body;
};

} // namespace lavenderhall::http
