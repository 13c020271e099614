#include "placement/endpointtable.h"

#include "base/digest.h"

#include <algorithm>

namespace lavenderhall {

namespace {

// How long an endpoint is suspected after its first failure; doubled with each further one.
constexpr Millis FirstSuspicion{250};
constexpr int MaxSuspicionDoublings = 5;

} // namespace

const char *toString(EndpointState state)
{
    switch (state) {
    case EndpointState::Serving:
        return "serving";
    case EndpointState::Draining:
        return "draining";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::Suspected:
        return "suspected";
    }
    return "serving";
}

EndpointState EndpointView::state(MonoTime now) const
{
    if (this->endpoint.draining)
        return EndpointState::Draining;
    if (this->isLeaving)
        return EndpointState::Leaving;
    if (now < this->suspectedUntil)
        return EndpointState::Suspected;
    return EndpointState::Serving;
}

bool EndpointView::mayServe(const std::string &model, const std::string &weights) const
{
    const auto &models = this->endpoint.models;
    if (!std::binary_search(models.begin(), models.end(), model))
        return false;
    return !this->load || this->load->loaded.contains(weights);
}

void EndpointTable::configure(const Document &document)
{
    std::map<std::string, EndpointView> newViews;
    for (const Endpoint &endpoint : document.endpoints) {
        const auto previous = this->views.find(endpoint.name);
        EndpointView view;
        if (previous != this->views.end() && previous->second.endpoint.address == endpoint.address)
            view = std::move(previous->second);
        view.endpoint = endpoint;
        view.nameHash = hash64(endpoint.name);
        view.isLeaving = this->leavingNames.contains(endpoint.name);
        newViews.emplace(endpoint.name, std::move(view));
    }
    this->views = std::move(newViews);
}

void EndpointTable::setLeaving(const std::set<std::string> &names)
{
    this->leavingNames = names;
    for (auto &[name, view] : this->views)
        view.isLeaving = names.contains(name);
}

void EndpointTable::onStarted(const std::string &name, std::int64_t uncachedTokens)
{
    const auto found = this->views.find(name);
    if (found == this->views.end())
        return;
    ++found->second.inFlight;
    found->second.pendingTokens += uncachedTokens;
}

void EndpointTable::onPrefilled(const std::string &name, std::int64_t uncachedTokens)
{
    const auto found = this->views.find(name);
    if (found == this->views.end())
        return;
    std::int64_t &pending = found->second.pendingTokens;
    pending = std::max<std::int64_t>(0, pending - uncachedTokens);
}

void EndpointTable::onFinished(const std::string &name)
{
    const auto found = this->views.find(name);
    if (found != this->views.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

void EndpointTable::onSuccess(const std::string &name)
{
    const auto found = this->views.find(name);
    if (found == this->views.end())
        return;
    found->second.consecutiveFailures = 0;
    found->second.suspectedUntil = {};
}

void EndpointTable::onFailure(const std::string &name, MonoTime now)
{
    const auto found = this->views.find(name);
    if (found == this->views.end())
        return;
    EndpointView &view = found->second;
    const auto doublings
        = std::min<std::int64_t>(view.consecutiveFailures++, MaxSuspicionDoublings);
    view.suspectedUntil = now + FirstSuspicion * (1 << doublings);
}

void EndpointTable::onLeavingAnswer(const std::string &name)
{
    const auto found = this->views.find(name);
    if (found == this->views.end())
        return;
    this->leavingNames.insert(name);
    found->second.isLeaving = true;
}

bool EndpointTable::onLoadReport(const std::string &name, const LoadReport &report, MonoTime now)
{
    const auto found = this->views.find(name);
    if (found == this->views.end())
        return false;
    EndpointView &view = found->second;
    const bool isNewIncarnation = view.load && view.load->incarnation != report.incarnation;
    view.load = report;
    view.loadAt = now;
    return isNewIncarnation;
}

const EndpointView *EndpointTable::find(const std::string &name) const
{
    const auto found = this->views.find(name);
    return found == this->views.end() ? nullptr : &found->second;
}

std::vector<const EndpointView *> EndpointTable::candidates(const Route &route, const Model *model,
                                                            MonoTime now) const
{
    const std::string weights = model ? model->name + "@" + model->version : "";
    std::vector<const EndpointView *> serving;
    serving.reserve(this->views.size());
    std::vector<const EndpointView *> suspected;
    for (const auto &[name, view] : this->views) {
        const bool matches = route.kind == RouteKind::Service
            ? std::binary_search(route.endpoints.begin(), route.endpoints.end(), name)
            : model && view.endpoint.kind == EndpointKind::Engine
                && view.mayServe(model->name, weights);
        if (!matches)
            continue;
        const EndpointState state = view.state(now);
        if (state == EndpointState::Serving)
            serving.push_back(&view);
        else if (state == EndpointState::Suspected)
            suspected.push_back(&view);
    }
    // A suspected endpoint may have recovered, so it is still tried if no other is left.
    return serving.empty() ? suspected : serving;
}

} // namespace lavenderhall
