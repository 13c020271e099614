#pragma once

#include "base/errors.h"

#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

/// Checked reading of JSON: an error names the file, the path in it, what was found and what
/// was expected.
namespace lavenderhall {

using Json = nlohmann::json;

/// Range of an integer field, both ends included.
struct IntRange
{
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

/// Parses \a text; \a file is named in errors.
Result<Json> parseJson(std::string_view text, std::string_view file);

/// What to do with fields that a reader does not know: a person's typing error, or a newer field
/// of another system.
enum class UnknownFields { Refused, Ignored };

/// Reads one JSON object, field by field, and collects the first error.
///
/// Fields that no call asked for are found by finish(), so that a misspelt name is an error
/// and not a silent default.
class ObjectReader
{
public:
    /// \a path is where \a value stands in the file, e.g. "organisations[2]".
    /// \a unknown tells whether fields that nobody asks for are errors.
    ObjectReader(const Json &value, std::string file, std::string path,
                 UnknownFields unknown = UnknownFields::Refused);

    std::string text(const std::string &name);
    std::string text(const std::string &name, std::string fallback);
    /// An IP address in figures.
    std::string ipAddress(const std::string &name);
    std::int64_t integer(const std::string &name, IntRange range);
    std::int64_t integer(const std::string &name, IntRange range, std::int64_t fallback);
    bool boolean(const std::string &name, bool fallback);
    double number(const std::string &name, double fallback);
    /// An object whose fields are all texts; empty if it is not there.
    std::map<std::string, std::string> textMap(const std::string &name);
    /// One of \a names; returns its index.
    std::size_t choice(const std::string &name, const std::vector<std::string> &names);
    std::size_t choice(const std::string &name, const std::vector<std::string> &names,
                       std::size_t fallback);
    std::vector<std::string> texts(const std::string &name);
    /// Calls \a read(ObjectReader &) for each object of the array \a name.
    template <typename Read> void objects(const std::string &name, Read &&read);
    /// Calls \a read(ObjectReader &) if the object \a name is there.
    template <typename Read> bool object(const std::string &name, Read &&read);

    /// Records an error about the field \a name.
    void recordError(const std::string &name, const std::string &found,
                     const std::string &expected);
    /// Records fields that were never asked for. Call it last.
    void finish();
    bool isGood() const { return this->error.empty(); }
    /// Description of the first error, "" if there was none.
    const std::string &firstError() const { return this->error; }

private:
    const Json *find(const std::string &name, bool required, const char *expected);
    std::string pathOf(const std::string &name) const;

    const Json &value;
    UnknownFields unknown;
    std::string file;
    std::string path;
    std::vector<std::string> asked;
    std::string error;
};

// Lenient look-ups in JSON from other systems: a field that is missing or of another type
// counts as the fallback.
std::string findText(const Json &object, const std::string &name, std::string fallback = {});
std::int64_t findInteger(const Json &object, const std::string &name, std::int64_t fallback = 0);
const Json &findObject(const Json &object, const std::string &name);

/// Returns a short form of \a value for error messages.
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
