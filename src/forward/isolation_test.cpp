#include "forward/forwarderfixture.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <set>

using namespace lavenderhall;

namespace {

/// An organisation of the configuration, whose key is "key-" and its name.
OrganisationSpec organisation(const std::string &name, bool isIsolated)
{
    OrganisationSpec made;
    made.name = name;
    made.keys = {"key-" + name};
    made.isIsolated = isIsolated;
    return made;
}

/// One engine that answers each request, in front of organisations.
struct IsolationFixture : Fixture
{
    IsolationFixture()
    {
        this->first.onRequest = answerStream;
        this->join(this->first, "models", 2);
    }

    void configure(std::vector<OrganisationSpec> organisations)
    {
        TableContent content = this->context.table->content();
        ++content.version;
        content.organisations = std::move(organisations);
        this->context.table = std::make_shared<const RoutingTable>(std::move(content));
    }

    /// Sends a request of \a organisation, and returns the salt under which the engine caches its
    /// prompt.
    std::string saltOf(const std::string &organisation)
    {
        const auto result = this->send("stream", "a1:80,b2:20", {},
                                       {{"authorization", "Bearer key-" + organisation}});
        cr_assert(result.response.status == 200, "%d", result.response.status);
        const http::Headers &headers = this->first.exchanges.back()->request().headers;
        return std::string(http::findHeader(headers, "cache-salt"));
    }
};

} // namespace

// Guards against an isolated organisation whose name is a word of our own (review/8).
Test(isolation, an_isolated_organisation_of_any_name_shares_no_salt)
{
    IsolationFixture fixture;
    const std::vector<std::string> names{"shared", "isolated", "request", "/", "shared/loom", "0"};
    std::vector<OrganisationSpec> organisations{organisation("open", false)};
    for (const std::string &name : names)
        organisations.push_back(organisation(name, true));
    fixture.configure(std::move(organisations));
    std::set<std::string> salts{fixture.saltOf("open")};
    for (const std::string &name : names)
        salts.insert(fixture.saltOf(name));
    cr_assert(salts.size() == names.size() + 1, "%zu", salts.size());
}

// Guards against the parts that an organisation has made before it became isolated.
Test(isolation, an_organisation_that_becomes_isolated_leaves_its_cached_parts_to_nobody)
{
    IsolationFixture fixture;
    fixture.configure({organisation("mill", false), organisation("loft", false)});
    const std::string common = fixture.saltOf("mill");
    cr_assert(fixture.saltOf("loft") == common);
    fixture.configure({organisation("mill", true), organisation("loft", false)});
    const std::set<std::string> salts{common, fixture.saltOf("mill"), fixture.saltOf("loft")};
    cr_assert(salts.size() == 3U);
}

// All instances must choose the same salts, whatever configurations they have missed.
Test(isolation, the_salt_depends_on_the_configuration_in_force_only)
{
    const std::vector<OrganisationSpec> organisations{
        organisation("loft", false), organisation("mill", true), organisation("quay", true)};
    IsolationFixture fixture;
    fixture.configure(organisations);
    const std::string salt = fixture.saltOf("loft");
    fixture.configure({organisation("loft", false), organisation("mill", true)});
    cr_assert(fixture.saltOf("loft") != salt);
    fixture.configure({organisations.rbegin(), organisations.rend()});
    cr_assert(fixture.saltOf("loft") == salt);
}

// A caller sends a request again under its id, and the engine has loaded other weights meanwhile.
// Guards against cached parts that its first attempt has made.
Test(isolation, an_attempt_at_unknown_weights_has_a_salt_of_its_own)
{
    Fixture fixture;
    fixture.first.onRequest = [](const http::ExchangePtr &exchange) {
        http::Headers headers = sealedHeaders(exchange);
        headers.push_back({"content-type", "text/event-stream"});
        exchange->respond({200, headers, "id: 1\ndata: x\n\n"});
    };
    fixture.join(fixture.first, "models", 0);
    cr_assert(fixture.call("stream").response.status == 200);
    cr_assert(fixture.callAgain("stream").response.status == 200);
    const auto saltOf = [](const http::ExchangePtr &exchange) {
        return std::string(http::findHeader(exchange->request().headers, "cache-salt"));
    };
    const auto &exchanges = fixture.first.exchanges;
    cr_assert(exchanges.size() == 2U);
    cr_assert(saltOf(exchanges[0]) != saltOf(exchanges[1]));
    cr_assert(not(saltOf(exchanges[0]).empty()));
}
