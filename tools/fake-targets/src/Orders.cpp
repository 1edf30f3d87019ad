#include "Orders.h"

namespace wasabivale::faketargets {

using targets::OrderAnswer;
using targets::OrderState;

OrderAnswer takeOrder(Orders &At, const targets::Order &Given) {
  const bool Same = Given.m_Id == At.m_Order;
  if (At.m_ChecksFence && Given.m_Fence < At.m_Fence)
    return OrderAnswer::StaleFence;
  if (At.m_ChecksFence && Given.m_Fence == At.m_Fence && !Same)
    return OrderAnswer::StaleFence;
  if (Same && At.m_State != OrderState::Failed) {
    At.m_Fence = Given.m_Fence;
    return OrderAnswer::Accepted;
  }
  if (At.m_State == OrderState::Running)
    return OrderAnswer::Busy;
  At.m_Fence = Given.m_Fence;
  At.m_Order = Given.m_Id;
  At.m_Want = Given.m_Want;
  At.m_State = OrderState::Running;
  return OrderAnswer::Accepted;
}

} // namespace wasabivale::faketargets
