/**
 * @file settings_doc_func.h
 * Texts for people, made from the table of settings.
 */
#ifndef MONSOONCROFT_CONFIG_SETTINGS_DOC_FUNC_H
#define MONSOONCROFT_CONFIG_SETTINGS_DOC_FUNC_H

#include <string>

namespace monsooncroft::config {

/** One line a setting, for --help. */
std::string
SettingsHelp();

/** The whole of docs/SETTINGS.md. */
std::string
SettingsPage();

} // namespace monsooncroft::config

#endif
