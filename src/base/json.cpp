#include "base/json.h"

#include "base/address.h"

#include <algorithm>
#include <cmath>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxDescribedBytes = 60; ///< of a JSON value in an error message

/// Returns the whole number in \a range that is closest to \a number. A floating-point number that
/// does not fit into 64 bits is compared before it is converted.
std::int64_t closestTo(const Json &number, IntRange range)
{
    if (number.is_number_unsigned()
        && number.get<std::uint64_t>() > static_cast<std::uint64_t>(range.maximum))
        return range.maximum;
    if (!number.is_number_float())
        return std::clamp(number.get<std::int64_t>(), range.minimum, range.maximum);
    const double value = number.get<double>();
    if (value >= static_cast<double>(range.maximum))
        return range.maximum;
    if (value <= static_cast<double>(range.minimum))
        return range.minimum;
    return std::clamp<std::int64_t>(std::llround(value), range.minimum, range.maximum);
}

} // namespace

std::string findText(const Json &object, const std::string &name, std::string fallback)
{
    if (!object.is_object())
        return fallback;
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>()
                                                       : std::move(fallback);
}

std::int64_t findInteger(const Json &object, const std::string &name, std::int64_t fallback)
{
    if (!object.is_object())
        return fallback;
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                               : fallback;
}

const Json &findObject(const Json &object, const std::string &name)
{
    static const Json Empty = Json::object();
    if (!object.is_object())
        return Empty;
    const auto found = object.find(name);
    return found != object.end() && found->is_object() ? *found : Empty;
}

std::string describeJson(const Json &value)
{
    std::string text = writeJson(value);
    if (text.size() > MaxDescribedBytes)
        text = text.substr(0, MaxDescribedBytes) + "...";
    return text;
}

std::string writeJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// The brackets are counted without recursion. Up to the first error, if there is one, strings are
// told apart from brackets as the parser does it.
bool isDeepJson(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char c = text[index];
        if (c == '"')
            isInString = !isInString;
        else if (isInString)
            index += c == '\\' ? 1 : 0;
        else if (c == '[' || c == '{')
            ++depth;
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
        if (depth > MaxJsonDepth)
            return true;
    }
    return false;
}

Json readJson(std::string_view text, DeepJson deep)
{
    if (!isDeepJson(text))
        return Json::parse(text, nullptr, false);
    if (deep == DeepJson::Refused)
        return Json(Json::value_t::discarded);
    const auto isKept = [](int depth, Json::parse_event_t event, const Json &) {
        const bool isStart = event == Json::parse_event_t::array_start
            || event == Json::parse_event_t::object_start;
        return !isStart || static_cast<std::size_t>(depth) < MaxJsonDepth;
    };
    return Json::parse(text, isKept, false);
}

Result<Json> parseJson(std::string_view text, std::string_view file)
{
    const auto refuse = [&](const std::string &detail) {
        return fail(ErrorCode::BadInput, "parse json", std::string(file) + detail);
    };
    if (isDeepJson(text))
        return refuse(": found values nested more than " + std::to_string(MaxJsonDepth)
                      + " levels deep");
    try {
        return Json::parse(text);
    } catch (const Json::parse_error &error) {
        const std::size_t errorOffset = std::min(error.byte, text.size());
        const auto line
            = 1 + std::count(text.begin(), text.begin() + static_cast<long>(errorOffset), '\n');
        return refuse(" line " + std::to_string(line) + ": found text that is not JSON");
    } catch (const Json::out_of_range &) {
        return refuse(": found a number that is out of range");
    }
}

ObjectReader::ObjectReader(const Json &value, std::string file, std::string path,
                           UnknownFields unknown)
    : value(value)
    , unknown(unknown)
    , file(std::move(file))
    , path(std::move(path))
{
    if (!value.is_object())
        this->recordError("", describeJson(value), "an object");
}

std::string ObjectReader::pathOf(const std::string &name) const
{
    if (this->path.empty() || name.empty())
        return this->path + name;
    return this->path + "." + name;
}

void ObjectReader::recordError(const std::string &name, const std::string &found,
                               const std::string &expected)
{
    if (!this->error.empty())
        return;
    std::string where = this->pathOf(name);
    if (where.empty())
        where = "the whole file";
    this->error = this->file + ": " + where + ": found " + found + ", expected " + expected;
}

const Json *ObjectReader::find(const std::string &name, bool required, const char *expected)
{
    this->readNames.push_back(name);
    if (!this->value.is_object())
        return nullptr;
    const auto entry = this->value.find(name);
    if (entry != this->value.end())
        return &*entry;
    if (required)
        this->recordError(name, "nothing", expected);
    return nullptr;
}

std::string ObjectReader::text(const std::string &name)
{
    const Json *entry = this->find(name, true, "a text");
    if (!entry)
        return {};
    if (!entry->is_string() || entry->get_ref<const std::string &>().empty()) {
        this->recordError(name, describeJson(*entry), "a text that is not empty");
        return {};
    }
    return entry->get<std::string>();
}

std::string ObjectReader::text(const std::string &name, std::string fallback)
{
    const Json *entry = this->find(name, false, "a text");
    if (!entry)
        return fallback;
    if (!entry->is_string()) {
        this->recordError(name, describeJson(*entry), "a text");
        return fallback;
    }
    return entry->get<std::string>();
}

std::string ObjectReader::ipAddress(const std::string &name)
{
    std::string address = this->text(name);
    if (this->isGood() && !isIpAddress(address))
        this->recordError(name, "\"" + address + "\"", "a numeric IPv4 address");
    return address;
}

std::int64_t ObjectReader::integer(const std::string &name, IntRange range)
{
    if (!this->value.is_object() || !this->value.contains(name)) {
        this->find(name, true, "a whole number");
        return range.minimum;
    }
    return this->integer(name, range, range.minimum);
}

std::int64_t ObjectReader::integer(const std::string &name, IntRange range, std::int64_t fallback)
{
    const Json *entry = this->find(name, false, "a whole number");
    if (!entry)
        return fallback;
    const std::string expected = "a whole number from " + std::to_string(range.minimum) + " to "
        + std::to_string(range.maximum);
    const bool fits = entry->is_number_integer()
        && !(entry->is_number_unsigned()
             && entry->get<std::uint64_t>() > static_cast<std::uint64_t>(range.maximum));
    if (!fits || entry->get<std::int64_t>() < range.minimum
        || entry->get<std::int64_t>() > range.maximum) {
        this->recordError(name, describeJson(*entry), expected);
        return fallback;
    }
    return entry->get<std::int64_t>();
}

std::int64_t ObjectReader::closestInteger(const std::string &name, IntRange range,
                                          std::int64_t fallback)
{
    const Json *entry = this->find(name, false, "a number");
    if (!entry)
        return fallback;
    if (!entry->is_number()) {
        this->recordError(name, describeJson(*entry), "a number");
        return fallback;
    }
    const auto closest = closestTo(*entry, range);
    if (*entry != closest)
        this->recordError(name, describeJson(*entry),
                          "a whole number from " + std::to_string(range.minimum) + " to "
                              + std::to_string(range.maximum));
    return closest;
}

bool ObjectReader::boolean(const std::string &name, bool fallback)
{
    const Json *entry = this->find(name, false, "true or false");
    if (!entry)
        return fallback;
    if (!entry->is_boolean()) {
        this->recordError(name, describeJson(*entry), "true or false");
        return fallback;
    }
    return entry->get<bool>();
}

double ObjectReader::number(const std::string &name, double fallback)
{
    const Json *entry = this->find(name, false, "a number");
    if (!entry)
        return fallback;
    if (!entry->is_number()) {
        this->recordError(name, describeJson(*entry), "a number");
        return fallback;
    }
    return entry->get<double>();
}

std::map<std::string, std::string> ObjectReader::textMap(const std::string &name)
{
    std::map<std::string, std::string> values;
    const Json *entry = this->find(name, false, "an object of texts");
    if (!entry)
        return values;
    if (!entry->is_object()) {
        this->recordError(name, describeJson(*entry), "an object of texts");
        return values;
    }
    for (const auto &[key, value] : entry->items()) {
        if (!value.is_string()) {
            this->recordError(name + "." + key, describeJson(value), "a text");
            continue;
        }
        values.emplace(key, value.get<std::string>());
    }
    return values;
}

std::size_t ObjectReader::choice(const std::string &name, const std::vector<std::string> &names)
{
    const std::string found = this->text(name);
    const auto match = std::find(names.begin(), names.end(), found);
    if (match != names.end())
        return static_cast<std::size_t>(match - names.begin());
    std::string expected = "one of";
    for (const std::string &option : names)
        expected += " \"" + option + "\"";
    this->recordError(name, "\"" + found + "\"", expected);
    return 0;
}

std::size_t ObjectReader::choice(const std::string &name, const std::vector<std::string> &names,
                                 std::size_t fallback)
{
    if (!this->value.is_object() || !this->value.contains(name)) {
        this->readNames.push_back(name);
        return fallback;
    }
    return this->choice(name, names);
}

std::vector<std::string> ObjectReader::texts(const std::string &name)
{
    std::vector<std::string> values;
    const Json *list = this->find(name, false, "a list of texts");
    if (!list)
        return values;
    if (!list->is_array()) {
        this->recordError(name, describeJson(*list), "a list of texts");
        return values;
    }
    for (const Json &entry : *list) {
        if (!entry.is_string()) {
            this->recordError(name, describeJson(entry), "a text");
            continue;
        }
        values.push_back(entry.get<std::string>());
    }
    return values;
}

void ObjectReader::finish()
{
    if (!this->value.is_object() || this->unknown == UnknownFields::Ignored)
        return;
    for (const auto &[name, entry] : this->value.items()) {
        if (std::find(this->readNames.begin(), this->readNames.end(), name)
            == this->readNames.end())
            this->recordError(name, describeJson(entry), "no field of this name");
    }
}

} // namespace lavenderhall
