#pragma once

#include <string>
#include <string_view>

/// Text of callers and endpoints, which may be any bytes, in places that accept only UTF-8: JSON
/// and the messages between instances.
namespace lavenderhall {

/// Returns whether \a text is well-formed UTF-8.
bool isUtf8(std::string_view text);

/// Returns \a bytes as UTF-8. Different bytes become different texts, and most UTF-8 text stays as
/// it is, so that instances of versions that do not encode it agree about it.
std::string toUtf8(std::string_view bytes);

/// Returns the bytes that toUtf8() has made \a text of.
std::string fromUtf8(std::string_view text);

} // namespace lavenderhall
