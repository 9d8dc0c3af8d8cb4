#ifndef LABURNUMMAST_ENTRY_ADMIN_H
#define LABURNUMMAST_ENTRY_ADMIN_H

#include "entry/node.h"
#include "net/httpserver.h"

#include <optional>
#include <string>

namespace Laburnummast::Entry
{

/// HTTP server that provides the metrics and the state dump of one daemon to operators.
class Admin
{
public:
    explicit Admin(Node &node);

    /// Starts to serve requests. Returns the address if it cannot be bound; nothing on success.
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
