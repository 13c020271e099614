#include "base/json.h"
#include "base/outsidetext.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <set>

using namespace lavenderhall;

Test(outsidetext, any_bytes_become_utf8_and_the_same_bytes_again)
{
    constexpr unsigned ByteValues = 256;
    constexpr unsigned MaxLength = 9;
    pcg32 random(3);
    // Mostly bytes of escapes, of longer characters and of surrogates.
    const std::string likely = "a\xEF\x9C\x80\xBF\xED\xA0\xF4\xC3\xA4";
    std::set<std::string> texts;
    std::set<std::string> originals;
    for (int round = 0; round < 100'000; ++round) {
        std::string bytes(random(MaxLength), '\0');
        for (char &c : bytes)
            c = random(4) == 0 ? static_cast<char>(random(ByteValues))
                               : likely[random(static_cast<unsigned>(likely.size()))];
        const std::string text = toUtf8(bytes);
        cr_assert(isUtf8(text));
        cr_assert(isUtf8(bytes)
                  == not(Json(bytes).dump(-1, ' ', false, Json::error_handler_t::ignore)
                         != Json(bytes).dump(-1, ' ', false, Json::error_handler_t::replace)));
        cr_assert(fromUtf8(text) == bytes);
        texts.insert(text);
        originals.insert(bytes);
    }
    cr_assert(texts.size() == originals.size());
}

Test(outsidetext, usual_text_stays_as_it_is)
{
    for (const std::string text :
         {"", "order-17", "Bestellung f\xC3\xBCr \xE2\x82\xAC 5", "\xF0\x9F\x8D\x8B"}) {
        cr_assert(toUtf8(text) == text);
        cr_assert(fromUtf8(text) == text);
    }
}
