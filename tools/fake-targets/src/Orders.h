/// \file
/// Orders of one target: fences, one order at a time, the wanted state.

#ifndef WASABIVALE_FAKETARGETS_ORDERS_H
#define WASABIVALE_FAKETARGETS_ORDERS_H

#include "targets/targets.h"

namespace wasabivale::faketargets {

struct Orders {
  bool m_ChecksFence = true;
  targets::Fence m_Fence; ///< Of the last order taken.
  std::string m_Order;    ///< Id of the last order taken.
  targets::OrderState m_State = targets::OrderState::None;
  targets::WantedState m_Want;
};

/// Decides on an order and remembers it when it is accepted. The same order
/// again is accepted without effect.
targets::OrderAnswer takeOrder(Orders &At, const targets::Order &Given);

} // namespace wasabivale::faketargets

#endif // WASABIVALE_FAKETARGETS_ORDERS_H
