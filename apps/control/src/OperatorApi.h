/// \file
/// The operators' HTTP interface of a control member.

#ifndef WASABIVALE_CONTROL_OPERATORAPI_H
#define WASABIVALE_CONTROL_OPERATORAPI_H

#include "Control.h"

namespace wasabivale::control {

class OperatorApi {
public:
  explicit OperatorApi(Control &Of) : m_Control(Of) {}
  void answer(const std::shared_ptr<http::Exchange> &Arrived);

private:
  using Exchange = std::shared_ptr<http::Exchange>;

  /// Name of the operator whose token came with the request; empty if none.
  [[nodiscard]] std::string operatorOf(const http::Request &From) const;
  void refuse(const Exchange &Arrived, Refusal Reason,
              const std::string &Message = {});
  void redirect(const Exchange &Arrived);
  void get(const Exchange &Arrived);
  void call(const Exchange &Arrived, const std::string &Actor);
  void changeMember(const Exchange &Arrived, const settings::Json &Ask);
  [[nodiscard]] settings::Json status() const;
  [[nodiscard]] settings::Json targets() const;
  [[nodiscard]] settings::Json orders() const;
  [[nodiscard]] settings::Json plans() const;
  [[nodiscard]] settings::Json configuration() const;
  [[nodiscard]] settings::Json members() const;
  [[nodiscard]] settings::Json entries() const;
  [[nodiscard]] settings::Json routes() const;
  [[nodiscard]] settings::Json ledgerKeys() const;

  Control &m_Control;
};

} // namespace wasabivale::control

#endif // WASABIVALE_CONTROL_OPERATORAPI_H
