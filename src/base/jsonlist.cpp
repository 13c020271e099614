#include "base/jsonlist.h"

#include "base/outsidetext.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lavenderhall {

namespace {

constexpr std::size_t MaxShownBytes = 60; ///< of an unreadable entry
constexpr std::size_t MaxListEnds = 16; ///< brackets that are tried as the end of a damaged list
// Damaged syntax makes the reader look for the next entry. It gives up after it has looked at this
// many times the length of the text.
constexpr std::size_t MaxScanFactor = 16;
constexpr int MaxBadNumbers = 16; ///< of one entry
constexpr unsigned char MaxAscii = 0x7F;
constexpr std::string_view Space = " \t\r\n";

/// Returns the index of the first byte from \a index on that is not white space.
std::size_t skipSpace(std::string_view text, std::size_t index)
{
    const std::size_t found = text.find_first_not_of(Space, index);
    return found == std::string_view::npos ? text.size() : found;
}

/// Returns the index behind the string that begins at \a index; the end of \a text if it is open.
std::size_t skipString(std::string_view text, std::size_t index)
{
    for (++index; index < text.size(); ++index) {
        if (text[index] == '\\')
            ++index;
        else if (text[index] == '"')
            return index + 1;
    }
    return text.size();
}

bool isOpening(char c)
{
    return c == '{' || c == '[';
}

bool isClosing(char c)
{
    return c == '}' || c == ']';
}

/// Returns the index behind the value in brackets that begins at \a start; nothing if it is open.
std::optional<std::size_t> endOfBrackets(std::string_view text, std::size_t start)
{
    std::size_t depth = 0;
    for (std::size_t index = start; index < text.size();) {
        if (text[index] == '"') {
            index = skipString(text, index);
            continue;
        }
        if (isOpening(text[index]))
            ++depth;
        else if (isClosing(text[index]) && --depth == 0)
            return index + 1;
        ++index;
    }
    return std::nullopt;
}

/// Returns the index of the bracket \a opening that begins the field \a name of the object \a text.
std::optional<std::size_t> startOfField(std::string_view text, std::string_view name, char opening)
{
    std::size_t index = skipSpace(text, 0);
    if (index == text.size() || text[index] != '{')
        return std::nullopt;
    for (++index; index < text.size();) {
        if (isOpening(text[index])) {
            const auto end = endOfBrackets(text, index);
            if (!end)
                return std::nullopt;
            index = *end;
            continue;
        }
        if (text[index] != '"') {
            ++index;
            continue;
        }
        const std::size_t end = skipString(text, index);
        const std::string_view field = text.substr(index, end - index);
        index = skipSpace(text, end);
        if (field.size() != name.size() + 2 || field.substr(1, name.size()) != name
            || index == text.size() || text[index] != ':')
            continue;
        index = skipSpace(text, index + 1);
        if (index < text.size() && text[index] == opening)
            return index;
    }
    return std::nullopt;
}

/// Returns the id of an entry that can be read; "" if it has none.
std::string idIn(const Json &entry, const JsonListShape &shape)
{
    return findText(findObject(entry, std::string(shape.member)), std::string(shape.id));
}

/// Returns the id of the entry that \a text begins with, of which the rest may be damaged; "" if
/// the id is damaged too. An id that is not UTF-8 is read as such and returned as its own bytes.
std::string idInDamaged(std::string_view text, const JsonListShape &shape)
{
    const auto start = startOfField(text, shape.member, '{');
    const auto end = start ? endOfBrackets(text, *start) : std::nullopt;
    if (!end)
        return {};
    const std::string_view member = text.substr(*start, *end - *start);
    const std::string id(shape.id);
    const Json plain = readJson(member, DeepJson::LeftOut);
    if (plain.is_object())
        return findText(plain, id);
    return fromUtf8(findText(readJson(toUtf8(member), DeepJson::LeftOut), id));
}

/// Takes the parser's events, and keeps its first error.
class ErrorCatcher : public nlohmann::json_sax<Json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(std::int64_t) override { return true; }
    bool number_unsigned(std::uint64_t) override { return true; }
    bool number_float(double, const std::string &) override { return true; }
    bool string(std::string &) override { return true; }
    bool binary(Json::binary_t &) override { return true; }
    bool start_object(std::size_t) override { return true; }
    bool key(std::string &) override { return true; }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t position, const std::string &token,
                     const nlohmann::detail::exception &error) override
    {
        this->isNumberOutOfRange = error.id == NumberOutOfRange;
        this->tokenEnd = position;
        this->tokenSize = token.size();
        return false;
    }

    bool isNumberOutOfRange = false;
    std::size_t tokenEnd = 0;
    std::size_t tokenSize = 0;

private:
    static constexpr int NumberOutOfRange = 406; ///< error id of the library
};

/// Whether \a text would be JSON without its bytes beyond ASCII and its numbers out of range.
bool hasSoundSyntax(std::string_view text)
{
    std::string plain(text);
    for (char &c : plain) {
        if (static_cast<unsigned char>(c) > MaxAscii)
            c = '?';
    }
    for (int numbers = 0; numbers <= MaxBadNumbers; ++numbers) {
        ErrorCatcher catcher;
        if (Json::sax_parse(plain, &catcher))
            return true;
        if (!catcher.isNumberOutOfRange || catcher.tokenSize > catcher.tokenEnd)
            return false;
        const std::size_t start = catcher.tokenEnd - catcher.tokenSize;
        plain.replace(start, catcher.tokenSize, catcher.tokenSize, ' ');
        plain[start] = '0';
    }
    return false;
}

/// Reads the list of a text that cannot be read as a whole, entry by entry.
class EntryReader
{
public:
    EntryReader(std::string_view text, const JsonListShape &shape)
        : text(text)
        , shape(shape)
        , scansLeft(MaxScanFactor * text.size())
    { }

    JsonList read()
    {
        const auto bracket = startOfField(this->text, this->shape.list, '[');
        this->result.rest = Json(Json::value_t::discarded);
        if (!bracket)
            return std::move(this->result);
        this->start = *bracket + 1;
        this->readEntries();
        return std::move(this->result);
    }

private:
    /// An entry that can be read, and the index behind it.
    struct Entry
    {
        Json value;
        std::size_t end = 0;
    };

    void readEntries()
    {
        std::size_t index = skipSpace(this->text, this->start);
        while (index < this->text.size() && !this->isListEnd(index)) {
            if (auto entry = this->entryAt(index)) {
                this->noteId(idIn(entry->value, this->shape));
                this->result.entries.push_back(std::move(entry->value));
                index = this->nextSeparated(entry->end);
                continue;
            }
            this->addUnreadable(index);
            const std::size_t next = this->findNext(index);
            this->noteIdsOfDamaged(index, next);
            index = next;
        }
        if (this->result.rest.is_discarded())
            this->findRest();
    }

    /// Returns the entry that begins at \a index, if it can be read.
    std::optional<Entry> entryAt(std::size_t index)
    {
        if (index >= this->text.size() || this->text[index] != '{')
            return std::nullopt;
        const auto end = endOfBrackets(this->text, index);
        const std::size_t scanned = end.value_or(this->text.size()) - index;
        this->scansLeft -= std::min(this->scansLeft, scanned);
        if (!end)
            return std::nullopt;
        Json value = readJson(this->text.substr(index, scanned), DeepJson::LeftOut);
        if (!value.is_object())
            return std::nullopt;
        return Entry{std::move(value), *end};
    }

    bool hasShape(const Json &entry) const
    {
        const auto member = entry.find(std::string(this->shape.member));
        return member != entry.end() && member->is_object();
    }

    bool isEntryAt(std::size_t index)
    {
        const auto entry = this->entryAt(index);
        return entry && this->hasShape(entry->value);
    }

    /// Returns the index of the entry or bracket that follows \a end.
    std::size_t nextSeparated(std::size_t end) const
    {
        const std::size_t next = skipSpace(this->text, end);
        return next < this->text.size() && this->text[next] == ',' ? skipSpace(this->text, next + 1)
                                                                   : next;
    }

    // The brackets of an entry with damaged syntax may match those of others.
    std::size_t findNext(std::size_t unreadable)
    {
        const auto end = this->text[unreadable] == '{' ? endOfBrackets(this->text, unreadable)
                                                       : std::optional<std::size_t>();
        if (end && hasSoundSyntax(this->text.substr(unreadable, *end - unreadable)))
            return this->nextSeparated(*end);
        for (std::size_t index = unreadable + 1; this->scansLeft > 0; ++index) {
            index = this->text.find('{', index);
            if (index == std::string_view::npos)
                break;
            const std::size_t before = this->text.find_last_not_of(Space, index - 1);
            if (this->text[before] == ',' && this->isEntryAt(index))
                return index;
        }
        return this->text.size();
    }

    /// Whether the list ends at \a index, and what follows it can be read.
    bool isListEnd(std::size_t index)
    {
        if (this->text[index] != ']')
            return false;
        this->scansLeft -= std::min(this->scansLeft, this->text.size() - index);
        this->result.rest = this->restFrom(index);
        return !this->result.rest.is_discarded();
    }

    void addUnreadable(std::size_t index)
    {
        if (this->result.unreadable++ == 0)
            this->result.firstUnreadable = toUtf8(this->text.substr(index, MaxShownBytes));
    }

    void noteId(std::string id)
    {
        if (!id.empty())
            this->result.lastId = std::move(id);
    }

    // What is between two entries that can be read may be several others. Whatever the damage has
    // shifted ends the search: an id that is no entry's would let a reader skip the entries before.
    void noteIdsOfDamaged(std::size_t index, std::size_t end)
    {
        while (index < end) {
            const std::string_view rest = this->text.substr(index, end - index);
            std::string id = idInDamaged(rest, this->shape);
            if (id.empty())
                return;
            this->noteId(std::move(id));
            const auto size = endOfBrackets(rest, 0);
            if (!size)
                return;
            index = this->nextSeparated(index + *size);
        }
    }

    /// Returns the object without its entries, if its list ends at \a end.
    Json restFrom(std::size_t end) const
    {
        if (end >= this->text.size() || this->text[end] != ']')
            return Json(Json::value_t::discarded);
        std::string whole(this->text.substr(0, this->start));
        whole += this->text.substr(end);
        return readJson(whole);
    }

    /// The end of the list has not been found behind its entries.
    void findRest()
    {
        std::size_t end = this->text.size();
        for (std::size_t tries = 0; tries < MaxListEnds && end > this->start; ++tries) {
            end = this->text.rfind(']', end - 1);
            if (end == std::string_view::npos || end < this->start)
                return;
            this->result.rest = this->restFrom(end);
            if (!this->result.rest.is_discarded())
                return;
        }
    }

    const std::string_view text;
    const JsonListShape shape;
    std::size_t scansLeft;
    std::size_t start = 0; ///< of the first entry
    JsonList result;
};

/// Takes the entries out of an object that has been read.
JsonList takeEntries(Json object, const JsonListShape &shape)
{
    JsonList result;
    const auto list = object.find(std::string(shape.list));
    if (list != object.end() && list->is_array()) {
        for (Json &entry : *list) {
            std::string id = idIn(entry, shape);
            if (!id.empty())
                result.lastId = std::move(id);
            result.entries.push_back(std::move(entry));
        }
        *list = Json::array();
    }
    result.rest = std::move(object);
    return result;
}

} // namespace

JsonList readJsonList(std::string_view text, const JsonListShape &shape)
{
    Json whole = readJson(text, DeepJson::LeftOut);
    if (whole.is_object())
        return takeEntries(std::move(whole), shape);
    return EntryReader(text, shape).read();
}

} // namespace lavenderhall
