#include "forward/requestsignature.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <optional>

using namespace lavenderhall;

namespace {

ForwardRequest someRequest()
{
    ForwardRequest request;
    request.id = "first";
    request.method = http::Method::Post;
    request.host = "h.example";
    request.path = "/read/x";
    request.target = "/read/x?q=1";
    request.body = "body";
    return request;
}

std::string fingerprintOf(const ForwardRequest &request,
                          const std::optional<std::string> &organisation = "org")
{
    return RequestSignature(request, organisation).fingerprint();
}

} // namespace

// A request that comes again has another id, and may have another time limit or connection.
Test(requestsignature, a_request_that_comes_again_has_the_same_fingerprint)
{
    ForwardRequest again = someRequest();
    again.id = "second";
    again.callerTimeout = Millis(50);
    again.headers = {{"x", "y"}};
    cr_assert(fingerprintOf(again) == fingerprintOf(someRequest()));
}

Test(requestsignature, another_body_path_or_caller_has_another_fingerprint)
{
    const std::string fingerprint = fingerprintOf(someRequest());
    ForwardRequest other = someRequest();
    other.body = "Body";
    cr_assert(fingerprintOf(other) != fingerprint);
    other = someRequest();
    other.path = "/read/";
    other.body = "xbody";
    cr_assert(fingerprintOf(other) != fingerprint);
    cr_assert(fingerprintOf(someRequest(), "another") != fingerprint);
}

// Guards against a caller without an organisation, whose key is the name of one: the crashes of its
// requests would count against the organisation's.
Test(requestsignature, a_key_and_the_name_of_an_organisation_are_told_apart)
{
    ForwardRequest request = someRequest();
    request.key = "org";
    cr_assert(fingerprintOf(request, std::nullopt) != fingerprintOf(request, "org"));
    ForwardRequest other = request;
    other.key = "another";
    cr_assert(fingerprintOf(other, std::nullopt) != fingerprintOf(request, std::nullopt));
    cr_assert(fingerprintOf(other, "org") == fingerprintOf(request, "org"));
}

Test(requestsignature, the_last_part_of_a_prompt_is_not_shared)
{
    ForwardRequest request = someRequest();
    request.parts = {{"a", 10}, {"b", 10}, {"a", 10}, {"own", 5}};
    cr_assert(RequestSignature(request, "org").sharedParts().empty());
    request.model = "loom";
    cr_assert(RequestSignature(request, "org").sharedParts() == (std::vector<PartId>{"a", "b"}));
}
