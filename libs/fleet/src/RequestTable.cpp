#include "FleetMutations.h"
#include "Replies.h"

namespace wasabivale::fleet {

namespace {

std::string digestOfCall(const wire::Command &Call) {
  const wire::OperatorCommand &Said = Call.operator_command();
  const Json All =
      Json::array({Call.actor(), Said.kind(), Said.expected_revision(),
                   digestHex(Said.body())});
  return digestHex(All.dump());
}

void dropOldest(RequestTable &In) {
  In.m_ById.erase(In.m_InOrder.front());
  In.m_InOrder.pop_front();
}

void expire(RequestTable &In, LogTime Now) {
  while (!In.m_InOrder.empty() &&
         Now - In.m_ById.at(In.m_InOrder.front()).m_AnsweredAt > AnswersKeptFor)
    dropOldest(In);
}

} // namespace

std::optional<Reply> findAnswer(RequestTable &In, const wire::Command &Call,
                                LogTime Now) {
  expire(In, Now);
  if (mutated(Mutation::DropRequestTable))
    return std::nullopt;
  const auto Found = In.m_ById.find({Call.request_id()});
  if (Found == In.m_ById.end())
    return std::nullopt;
  if (Found->second.m_CallDigest != digestOfCall(Call))
    return refuse(Refusal::RequestIdReused);
  return Found->second.m_Reply;
}

void rememberAnswer(RequestTable &In, const wire::Command &Call,
                    const Reply &Given, LogTime Now) {
  const RequestId Name{Call.request_id()};
  if (In.m_ById.count(Name) != 0)
    return;
  while (In.m_InOrder.size() >= AnswersKept)
    dropOldest(In);
  In.m_ById[Name] = {digestOfCall(Call), Given, Now};
  In.m_InOrder.push_back(Name);
}

} // namespace wasabivale::fleet
