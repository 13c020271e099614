#pragma once

#include "base/errors.h"

#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

/// Validating reader for JSON. An error names the file, the path of the field in it, what was
/// found and what was expected.
namespace lavenderhall {

using Json = nlohmann::json;

/// Range of an integer field, both ends included.
struct IntRange
{
    std::int64_t minimum = 0;
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

/// Objects and lists of text from outside may be nested this deeply. The library copies, compares
/// and writes values by recursion.
inline constexpr std::size_t MaxJsonDepth = 100;

/// What becomes of objects and lists that are nested more deeply than MaxJsonDepth.
enum class DeepJson {
    Refused, ///< and the whole text with them
    LeftOut ///< for lists whose other entries remain usable
};

/// Parses \a text of another process. Returns a discarded value, which is none of the types of
/// JSON, if the text cannot be read. Never throws, and its strings are UTF-8.
Json readJson(std::string_view text, DeepJson deep = DeepJson::Refused);
/// Returns \a value as text. Never throws: text in it that is not UTF-8 is replaced. Use toUtf8()
/// on what must not be lost.
std::string writeJson(const Json &value);
/// Returns whether \a text has objects or lists that are nested more deeply than MaxJsonDepth.
bool isDeepJson(std::string_view text);

/// Parses \a text. Errors name \a file and the line in it.
Result<Json> parseJson(std::string_view text, std::string_view file);

/// How ObjectReader treats fields that no call has read. They are refused in files that people
/// write, where they are likely misspelt, and ignored in data of other systems, which may be newer.
enum class UnknownFields { Refused, Ignored };

/// Reads one JSON object, field by field, and keeps the first error.
///
/// A getter without a fallback requires the field; the others return the fallback, or an empty
/// value, if the field is missing. After an error the getters return a fallback or an empty value.
/// finish() reports fields that no getter has read, so that a misspelt name is an error and not a
/// silent default.
class ObjectReader
{
public:
    /// \a path is the position of \a value in the file, e.g. "organisations[2]". The reader refers
    /// to \a value, which must outlive it. \a unknown says how finish() treats unread fields.
    ObjectReader(const Json &value, std::string file, std::string path,
                 UnknownFields unknown = UnknownFields::Refused);

    std::string text(const std::string &name);
    std::string text(const std::string &name, std::string fallback);
    /// Returns a numeric IP address.
    std::string ipAddress(const std::string &name);
    std::int64_t integer(const std::string &name, IntRange range);
    std::int64_t integer(const std::string &name, IntRange range, std::int64_t fallback);
    /// Returns the whole number in \a range that is closest to the number found. Records an error
    /// if they differ, but the result can be used all the same.
    std::int64_t closestInteger(const std::string &name, IntRange range, std::int64_t fallback);
    bool boolean(const std::string &name, bool fallback);
    double number(const std::string &name, double fallback);
    /// Returns the fields of an object whose values are all texts; empty if it is missing.
    std::map<std::string, std::string> textMap(const std::string &name);
    /// Reads a text that is one of \a names, and returns its index in \a names.
    std::size_t choice(const std::string &name, const std::vector<std::string> &names);
    std::size_t choice(const std::string &name, const std::vector<std::string> &names,
                       std::size_t fallback);
    std::vector<std::string> texts(const std::string &name);
    /// Calls \a read(ObjectReader &) for each object of the array \a name, if it exists.
    template <typename Read> void objects(const std::string &name, Read &&read);
    /// Calls \a read(ObjectReader &) if the object \a name exists, and returns whether it does.
    template <typename Read> bool object(const std::string &name, Read &&read);

    /// Records an error about the field \a name, unless there is an earlier one.
    void recordError(const std::string &name, const std::string &found,
                     const std::string &expected);
    /// Records an error if a field has not been read, unless such fields are ignored. Must be the
    /// last call.
    void finish();
    /// Returns whether no error has been recorded yet.
    bool isGood() const { return this->error.empty(); }
    /// Returns the description of the first error, "" if there was none.
    const std::string &firstError() const { return this->error; }

private:
    const Json *find(const std::string &name, bool required, const char *expected);
    std::string pathOf(const std::string &name) const;

    const Json &value;
    UnknownFields unknown;
    std::string file;
    std::string path;
    std::vector<std::string> readNames;
    std::string error;
};

// Lenient look-ups in JSON from other systems: if the field is missing or has another type, they
// return the fallback, and findObject() an empty object.
std::string findText(const Json &object, const std::string &name, std::string fallback = {});
std::int64_t findInteger(const Json &object, const std::string &name, std::int64_t fallback = 0);
const Json &findObject(const Json &object, const std::string &name);

/// Returns \a value as JSON text, shortened for error messages.
std::string describeJson(const Json &value);

template <typename Read> void ObjectReader::objects(const std::string &name, Read &&read)
{
    const Json *list = this->find(name, false, "a list of objects");
    if (!list)
        return;
    if (!list->is_array())
        return this->recordError(name, describeJson(*list), "a list of objects");
    std::size_t index = 0;
    for (const Json &entry : *list) {
        ObjectReader reader(entry, this->file,
                            this->pathOf(name) + "[" + std::to_string(index++) + "]",
                            this->unknown);
        read(reader);
        reader.finish();
        if (this->error.empty())
            this->error = reader.firstError();
    }
}

template <typename Read> bool ObjectReader::object(const std::string &name, Read &&read)
{
    const Json *entry = this->find(name, false, "an object");
    if (!entry)
        return false;
    ObjectReader reader(*entry, this->file, this->pathOf(name), this->unknown);
    read(reader);
    reader.finish();
    if (this->error.empty())
        this->error = reader.firstError();
    return true;
}

} // namespace lavenderhall
