package boot

import "github.com/alecthomas/kong"

const description = `Bulrushpond routes model requests and bookings over mixed accelerators.

Daemons run on entry VMs between callers and backend servers. Operators control
them only through one tree of settings. Exit codes: 0 success, 1 failure,
2 invalid usage or input file, 3 conflict with another operator, 4 a change may
have been accepted, 5 timeout.`

// helpTexts returns the help texts that the tags of the command structs name.
func helpTexts() kong.Vars {
	return kong.Vars{
		"help_serve":          "Run the daemon of this VM until SIGTERM, then shut down gracefully.",
		"help_explain":        "Show the events of one request from the logs of one or several daemons.",
		"help_explain_id":     "ID of the request, as its caller sent it.",
		"help_explain_files":  "Log files; default is standard input.",
		"help_platform":       "Run two daemons as the edge command does, against a stand-in for the platform.",
		"help_edge":           "Run the daemon of a VM on the platform, with the settings file that the environment names.",
		"help_metrics_port":   "Port on the VM's address that serves metrics at /debug/vars; 0 disables it.",
		"help_dev":            "Run daemons with stand-ins for all outside systems on loopback, for trials.",
		"help_ask":            "Send one model request as a caller and print the answer.",
		"help_settings":       "Read, check and change the settings tree.",
		"help_config":         "Check the operators' configuration on the platform.",
		"help_config_check":   "Check a configuration before it is sent. Exit codes: 0 no findings, 1 findings, 2 daemons could not use it.",
		"help_config_file":    "File with the configuration; - is standard input.",
		"help_config_against": "File with the configuration in force, to show what changes.",
		"help_config_vm":      "Settings file of a VM, to check attempts against the retry budget.",
		"help_status":         "Show the status of one daemon: backend servers, shards, requests in progress.",
		"help_report":         "Print reports on the whole fleet.",
		"help_keys":           "Create a new fleet authority and issue the keys of daemons, as YAML for their settings files.",
		"help_version":        "Print the version.",
		"help_balance":        "How model requests are spread over the engines: cheapest takes the chain with the lowest estimated time; paced also sends slow engines only what fits their pace; even also keeps the use of the engines even.",
		"help_debug":          "Also log debug events.",
		"help_file":           "Settings file of the daemon on this VM.",
		"help_admin":          "Admin address of any daemon.",
		"help_admin_key":      "The operators' key.",
		"help_output":         "Output format: text or json.",
		"help_check":          "Validate a file with a whole settings tree, without changing anything.",
		"help_show":           "Show the merged values at a path, and the node that sets each.",
		"help_set":            "Change the settings of one node. Refused with exit code 3 if the node was changed since --base.",
		"help_apply":          "Change the tree to that of a file, with one change for each node that differs.",
		"help_history":        "Show the newest accepted changes.",
		"help_wait":           "Wait until a revision is in force at every live daemon.",
		"help_names_of":       "Print the reference of all settings, with their defaults.",
		"help_at":             "Path in the tree, such as /lisbon/rosters/team-a.",
		"help_base":           "The node's 'changed' revision that this change is based on, as 'settings show' prints it; default is the current one.",
		"help_kind":           "Kind of a node that does not exist yet: place, service or team.",
		"help_unset":          "Name of a setting to inherit again; may be repeated.",
		"help_remove":         "Remove the node and its descendants.",
		"help_by":             "Name of the operator, for the history.",
		"help_values":         "Settings as NAME=YAML, such as weight=2.",
		"help_prune":          "Also remove nodes that the file does not contain.",
		"help_timeout":        "Maximum time to wait.",
		"help_revision":       "Revision to wait for; default is the newest at this daemon.",
		"help_burn":           "Burn of the service-level objectives by team, collected from all live daemons.",
		"help_html":           "Also write the report as one HTML page to this file.",
		"help_once":           "Serve this one prompt, print the answer and its route, and exit.",
		"help_daemons":        "Number of daemons.",
		"help_engines":        "Number of model engines; each holds half of the layers.",
		"help_url":            "URL of a daemon's address for callers.",
		"help_api_key":        "API key of the team.",
		"help_model":          "Name of the model.",
		"help_prompt":         "The prompt.",
		"help_stream":         "Stream the answer and print tokens as they arrive.",
		"help_max_tokens":     "Maximum length of the answer in tokens; 0 applies the limit of the settings.",
		"help_names":          "Names of the daemons to issue keys for.",
		"help_valid_until":    "Expiry date of the keys, as YYYY-MM-DD.",
	}
}
