package boot

import "github.com/alecthomas/kong"

const textDescription = `Bulrushpond routes model requests and bookings over mixed accelerators.

Daemons run on entry VMs between callers and backend servers. Operators drive
them only by editing one tree of settings. Exit codes: 0 done, 1 failed, 2 wrong
usage or file, 3 conflict with another operator, 4 a change may have been
accepted, 5 timed out.`

// helpTexts are the texts of the command line.
func helpTexts() kong.Vars {
	return kong.Vars{
		"help_serve":         "Run the daemon of this VM until SIGTERM, then stop without cutting a request.",
		"help_explain":       "Tell a request's story from the logs of one or several daemons.",
		"help_explain_id":    "The request's id, as its caller sent it.",
		"help_explain_files": "Log files; without any, standard input is read.",
		"help_platform":      "Use a stand-in of the platform, with two daemons as the edge command runs them.",
		"help_edge":          "Run the daemon of a VM on the platform, by the settings file that its environment names.",
		"help_metrics_port":  "Port of the VM's address on which metrics are served at /debug/vars; 0 serves none.",
		"help_dev":           "Run daemons with stand-ins for all outside systems on loopback, to try things out.",
		"help_ask":           "Send one model request as a caller and print the answer.",
		"help_settings":      "Read, check and change the settings tree.",
		"help_status":        "Show one daemon's view: servers, shards, requests in progress.",
		"help_report":        "Reports over the whole fleet.",
		"help_keys":          "Make a new fleet authority and the keys of daemons, as YAML for their settings files.",
		"help_version":       "Print the version.",
		"help_debug":         "Also log events that are usually left out.",
		"help_file":          "The VM's own settings file.",
		"help_admin":         "Admin address of any daemon.",
		"help_admin_key":     "The operators' key.",
		"help_output":        "How to print data: text or json.",
		"help_check":         "Check a file with a whole settings tree, without changing anything.",
		"help_show":          "Show the merged values at a path, and the node that each comes from.",
		"help_set":           "Change the settings of one node. Refused with exit code 3 if the node was changed since --base.",
		"help_apply":         "Make the tree the same as a file, one change for each node that differs.",
		"help_history":       "Show the newest accepted changes.",
		"help_wait":          "Wait until a revision is in force at every live daemon.",
		"help_names_of":      "Print the reference of all settings, with their defaults.",
		"help_at":            "Path in the tree, such as /lisbon/rosters/team-a.",
		"help_base":          "The node's 'changed' revision that this change is based on, as 'settings show' prints it. Left out, it is read now.",
		"help_kind":          "Kind of a node that does not exist yet: place, service or team.",
		"help_unset":         "Name of a setting to inherit again; may be repeated.",
		"help_remove":        "Remove the node with all below it.",
		"help_by":            "Who makes the change, for the history.",
		"help_values":        "Settings as NAME=YAML, such as weight=2.",
		"help_prune":         "Also remove nodes that the file does not name.",
		"help_timeout":       "How long to wait.",
		"help_revision":      "The revision to wait for; left out, the newest at this daemon.",
		"help_burn":          "Service-level burn by team and objective, gathered from all live daemons.",
		"help_html":          "Also write the report as one HTML page to this file.",
		"help_once":          "Serve this one prompt, print the answer and where it ran, and exit.",
		"help_daemons":       "How many daemons to run.",
		"help_engines":       "How many model engines to run; each holds half of the layers.",
		"help_url":           "Callers' address of a daemon.",
		"help_api_key":       "API key of the team.",
		"help_model":         "Model to ask.",
		"help_prompt":        "The prompt.",
		"help_stream":        "Print tokens as they come.",
		"help_max_tokens":    "Longest answer, in tokens; 0 leaves it to the settings.",
		"help_names":         "Names of the daemons to make keys for.",
		"help_valid_until":   "When the keys expire, as YYYY-MM-DD.",
	}
}
