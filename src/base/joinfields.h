#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// Keys that are put together from several texts.
namespace lavenderhall {

/// Returns a text that no other list of fields gives, whatever characters \a fields contain.
std::string joinFields(std::initializer_list<std::string_view> fields);

} // namespace lavenderhall
