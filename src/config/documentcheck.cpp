#include "config/documentcheck.h"

#include "config/namedentries.h"

#include <set>

namespace lavenderhall {

namespace {

class ConsistencyCheck
{
public:
    ConsistencyCheck(const Document &document, ObjectReader &reader)
        : document(document)
        , reader(reader)
    { }

    void run()
    {
        this->checkUnique(this->document.regions, "regions");
        this->checkUnique(this->document.organisations, "organisations");
        this->checkUnique(this->document.models, "models");
        this->checkUnique(this->document.endpoints, "endpoints");
        this->checkUnique(this->document.routes, "routes");
        this->checkKeys();
        for (const Endpoint &endpoint : this->document.endpoints)
            this->checkEndpoint(endpoint);
        for (const Route &route : this->document.routes)
            this->checkRoute(route);
    }

private:
    template <typename Entry>
    void checkUnique(const std::vector<Entry> &entries, const std::string &list)
    {
        for (std::size_t index = 1; index < entries.size(); ++index) {
            if (entries[index].name == entries[index - 1].name)
                this->reader.recordError(list, "\"" + entries[index].name + "\" twice",
                                         "each name once");
        }
    }

    void checkKeys()
    {
        std::set<std::string> seen;
        for (const Organisation &organisation : this->document.organisations) {
            for (const KeyRecord &key : organisation.keys) {
                const bool isNewId = seen.insert("id " + key.id).second;
                const bool isNewDigest = seen.insert("digest " + key.digest).second;
                if (!isNewId || !isNewDigest)
                    this->reader.recordError("organisations." + organisation.name + ".keys",
                                             "key \"" + key.id + "\" twice",
                                             "each key id and digest once in the whole file");
            }
        }
    }

    void checkEndpoint(const Endpoint &endpoint)
    {
        const std::string path = "endpoints." + endpoint.name;
        if (!findByName(this->document.regions, endpoint.region))
            this->reader.recordError(path + ".region", "\"" + endpoint.region + "\"",
                                     "the name of a region");
        for (const std::string &model : endpoint.models) {
            if (!this->document.findModel(model))
                this->reader.recordError(path + ".models", "\"" + model + "\"",
                                         "the name of a model");
        }
    }

    void checkRoute(const Route &route)
    {
        const std::string path = "routes." + route.name;
        if (route.isOpen() && !this->document.findOrganisation(route.openFor))
            this->reader.recordError(path + ".open_for", "\"" + route.openFor + "\"",
                                     "the name of an organisation");
        if (route.kind == RouteKind::Model)
            return this->checkModelRoute(route, path);
        if (route.endpoints.empty())
            this->reader.recordError(path + ".endpoints", "no endpoint", "at least one");
        for (const std::string &name : route.endpoints) {
            const Endpoint *endpoint = this->document.findEndpoint(name);
            if (!endpoint || endpoint->kind != EndpointKind::Service)
                this->reader.recordError(path + ".endpoints", "\"" + name + "\"",
                                         "the name of an endpoint of kind \"service\"");
        }
    }

    void checkModelRoute(const Route &route, const std::string &path)
    {
        const Model *model = this->document.findModel(route.model);
        if (!model) {
            this->reader.recordError(path + ".model", "\"" + route.model + "\"",
                                     "the name of a model");
            return;
        }
        if (!route.adapter.empty() && !findByName(model->adapters, route.adapter))
            this->reader.recordError(path + ".adapter", "\"" + route.adapter + "\"",
                                     "the name of an adapter of model " + model->name);
    }

    const Document &document;
    ObjectReader &reader;
};

} // namespace

void checkConsistency(const Document &document, ObjectReader &reader)
{
    ConsistencyCheck(document, reader).run();
}

} // namespace lavenderhall
