/// \file
/// HTTP interface of a control member for operators.

#ifndef WASABIVALE_CONTROL_OPERATORAPI_H
#define WASABIVALE_CONTROL_OPERATORAPI_H

#include "Control.h"

namespace wasabivale::control {

class OperatorApi {
public:
  explicit OperatorApi(Control &Member) : m_Control(Member) {}
  void answer(const std::shared_ptr<http::Exchange> &Call);

private:
  using Exchange = std::shared_ptr<http::Exchange>;

  /// \returns the operator whose token the request carries; empty if none.
  [[nodiscard]] std::string operatorOf(const http::Request &Request) const;
  void refuse(const Exchange &Call, Refusal Reason,
              const std::string &Message = {});
  void redirect(const Exchange &Call);
  void get(const Exchange &Call);
  void call(const Exchange &Call, const std::string &Actor);
  void changeMember(const Exchange &Call, const settings::Json &Request);
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
