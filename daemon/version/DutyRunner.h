#pragma once

#include "cassiahollow/version/PromotionDuty.h"
#include "connection/EndpointLink.h"
#include "connection/HttpCall.h"
#include "process/EventLoop.h"
#include "version/ControlTask.h"
#include "version/PrimaryLeases.h"

#include <functional>
#include <memory>
#include <string>

namespace cassiahollow {

struct DutyRunnerOptions {
    std::string holder_; ///< The name under which promotions are ordered.
    InstanceId instance_;
    std::string authority_; ///< ip:port
    PromotionOptions promotion_;
};

/// Carries out the promotion duty while this control member leads: probes, surveys, and orders to the authority.
class DutyRunner {
public:
    /// Asks the control log for a grant; answered through granted().
    using RequestGrant = std::function<void(const GrantChange&)>;

    DutyRunner(EventLoop&, Metrics&, DutyRunnerOptions, const EndpointRegistry&, PrimaryLeases&, RequestGrant);
    ~DutyRunner();
    DutyRunner(const DutyRunner&) = delete;
    DutyRunner& operator=(const DutyRunner&) = delete;

    /// The member begins or ceases to lead.
    void setLeading(bool leading);
    /// Sets the latest grant of each group, once the grants of earlier leaders are known. They hold until the member
    /// begins or ceases to lead.
    void setGrants(const PromotionGrants&);
    void setCatalog(std::shared_ptr<const RouteCatalog> catalog) { catalog_ = std::move(catalog); }
    void reported(const InstanceId&, const std::vector<EndpointObservation>&);
    void granted(const GroupId&, std::optional<std::uint64_t> fence);
    /// Has to be called several times a second.
    void tick();

private:
    void carryOut(const ProbeAction&);
    void carryOut(const SurveyAction&);
    void carryOut(const ResumeAction&);
    void carryOut(const StepDownAction&);
    void carryOut(const GrantAction&);
    void carryOut(const OrderAction&);
    void ask(const EndpointId&, EndpointRequestNumber, std::string order);
    template <typename Result> void finish(std::uint64_t reign, const Result&);
    EndpointLink::Target targetOf(const RegisteredEndpoint&) const;
    void logPhases();

    EventLoop& loop_;
    Metrics& metrics_;
    const DutyRunnerOptions options_;
    const EndpointRegistry& registry_;
    PrimaryLeases& leases_;
    const RequestGrant requestGrant_;
    LineSockets sockets_;
    HttpCalls calls_;
    PromotionDuty duty_;
    std::shared_ptr<const RouteCatalog> catalog_;
    bool leading_ { false };
    bool ticking_ { false };
    std::uint64_t reign_ { 0 }; ///< Grows with each change of leadership; answers of older ones are dropped.
    std::map<GroupId, PromotionPhase> loggedPhases_;
    const std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) }; ///< Conversations may outlive this object.
};

} // namespace cassiahollow
