#ifndef LABURNUMMAST_ENTRY_ADMIN_H
#define LABURNUMMAST_ENTRY_ADMIN_H

#include "entry/node.h"
#include "net/httpserver.h"

#include <optional>
#include <string>

namespace Laburnummast::Entry
{

/// Metrics and state dump of one daemon, for operators.
class Admin
{
public:
    explicit Admin(Node &node);

    /// Returns the address that could not be had, if any.
    std::optional<Address> start(const Address &address);
    void stop();

private:
    void handle(Net::ServerRequest &request);
    std::string metrics();
    std::string state();

    Node &m_node;
    Net::HttpServer m_server;
};

}

#endif
