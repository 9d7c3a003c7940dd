#pragma once

#include "quincewing/routing/configuration_finding.hpp"

#include <optional>
#include <string>
#include <vector>

namespace quincewing {

/// The operators' configuration as it is written to the store.
struct configuration_document
{
    /// Name of its file, for findings.
    std::string file;
    std::string text;
};

/// A finding of the check, by its place in a document.
struct document_finding
{
    finding_severity severity{};
    std::string file;
    /// Path in the document, such as "routes[3]"; empty: the whole document.
    std::string location;
    std::string what;
    std::string why;
};

/// Result of check_configuration_document().
struct document_check
{
    std::vector<document_finding> findings;
    /// The checked document or the one in force is not JSON.
    bool not_json{};
};

/// Checks a document with the decoder of the hosts, and compares it with the one in force, if that
/// is given. Without a finding of severity error the hosts take the document in full.
document_check check_configuration_document(const configuration_document& next,
                                            const std::optional<configuration_document>& in_force);

} // namespace quincewing
