#include "base/joinfields.h"

namespace lavenderhall {

// A separator could be part of a field, so each field follows its length.
std::string joinFields(std::initializer_list<std::string_view> fields)
{
    std::string text;
    for (const std::string_view field : fields) {
        text += std::to_string(field.size());
        text += ':';
        text += field;
    }
    return text;
}

} // namespace lavenderhall
