//! Help, man page and completions, all generated from one table of commands.

use std::fmt::Write as _;

use crate::settings::NODE;

struct Command {
    words: &'static str,
    args: &'static str,
    help: &'static str,
    example: &'static str,
}

const COMMANDS: &[Command] = &[
    command("node", "--FLAG VALUE...", "Runs the node beside a server.", NODE_EXAMPLE),
    command("settings check", "--FLAG VALUE...", "Checks a node's settings and prints all faults.", SETTINGS_EXAMPLE),
    command("bundle check", "FILE", "Checks a bundle and prints all faults.", "valetrack bundle check shop.toml"),
    command("bundle write", "FILE", "Checks a bundle and writes it to the store.", WRITE_EXAMPLE),
    command("bundle approve", "VERSION", "Approves a bundle that another operator wrote.", APPROVE_EXAMPLE),
    command("bundle roll", "VERSION", "Publishes an approved bundle to all nodes.", ROLL_EXAMPLE),
    command("bundle status", "", "Shows the bundle in force.", "valetrack bundle status --store 10.0.0.9:2379"),
    command("bundle history", "", "Shows the bundle in force and earlier ones.", HISTORY_EXAMPLE),
    command("domain evacuate", "NAME", "Sends no new calls to a failure domain.", EVACUATE_EXAMPLE),
    command("domain return", "NAME", "Puts a failure domain back into service.", RETURN_EXAMPLE),
    command("domain status", "", "Shows which failure domains are evacuated.", STATUS_EXAMPLE),
    command("timeline", "[FILE...]", "Merges events of many nodes in causal order.", TIMELINE_EXAMPLE),
    command("keys authority", "", "Creates the fleet's certificate authority.", "valetrack keys authority --dir keys"),
    command("keys node", "", "Creates a node's certificate.", "valetrack keys node --dir keys --vm kranj-1"),
    command("keys check", "", "Shows when certificates expire.", "valetrack keys check --dir keys"),
    command("completions", "", "Prints completions for bash.", "valetrack completions > valetrack.bash"),
    command("man", "", "Prints the man page.", "valetrack man > valetrack.1"),
];

const NODE_EXAMPLE: &str = "valetrack node --vm kranj-1 --domain kranj --service intake --server 127.0.0.1:8080 \
    --store 10.0.0.9:2379 --list 10.0.0.9:8500 --keys /run/keys";
const SETTINGS_EXAMPLE: &str = "VALETRACK_VM=kranj-1 valetrack settings check --domain kranj";
const WRITE_EXAMPLE: &str = "valetrack bundle write shop.toml --operator ana --store 10.0.0.9:2379";
const APPROVE_EXAMPLE: &str = "valetrack bundle approve 3f0c... --operator bor --store 10.0.0.9:2379";
const ROLL_EXAMPLE: &str = "valetrack bundle roll 3f0c... --operator ana --store 10.0.0.9:2379";
const HISTORY_EXAMPLE: &str = "valetrack bundle history --json --store 10.0.0.9:2379";
const EVACUATE_EXAMPLE: &str = "valetrack domain evacuate kranj --store 10.0.0.9:2379";
const RETURN_EXAMPLE: &str = "valetrack domain return kranj --store 10.0.0.9:2379";
const STATUS_EXAMPLE: &str = "valetrack domain status --json --store 10.0.0.9:2379";
const TIMELINE_EXAMPLE: &str = "valetrack timeline --admin 10.0.0.1:7002 --admin 10.0.0.2:7002 --call c-17";

/// Flags other than the settings of a node.
const FLAGS: &[(&str, &str)] = &[
    ("--operator NAME", "Name of the operator; or VALETRACK_OPERATOR."),
    ("--dir FOLDER", "Folder of the keys."),
    ("--call ID", "Shows only the events of one call."),
    ("--admin IP:PORT", "Admin address of a node to query; may be given more than once."),
    ("--json", "Prints data as JSON."),
    ("--help", "Shows help."),
    ("--version", "Shows the release."),
];

const fn command(words: &'static str, args: &'static str, help: &'static str, example: &'static str) -> Command {
    Command { words, args, help, example }
}

/// Returns the help of the commands that start with these words, or of all commands if there are none.
pub fn usage(words: &[&str]) -> String {
    let wanted = words.join(" ");
    let chosen: Vec<&Command> = COMMANDS.iter().filter(|command| command.words.starts_with(&wanted)).collect();
    let chosen = if chosen.is_empty() { COMMANDS.iter().collect() } else { chosen };
    let mut text = String::from("valetrack: a load balancer for servers whose load shifts in milliseconds\n\n");
    for command in &chosen {
        let _ = writeln!(text, "valetrack {} {}", command.words, command.args);
        let _ = writeln!(text, "    {}", command.help);
        let _ = writeln!(text, "    Example: {}", command.example);
    }
    text.push_str("\nFlags:\n");
    for (flag, help) in FLAGS {
        let _ = writeln!(text, "  {flag:<28} {help}");
    }
    let is_for_node = |command: &&&Command| matches!(command.words, "node" | "settings check");
    if chosen.iter().any(|command| is_for_node(&command)) {
        text.push_str("\nSettings of a node, each as a flag and as an environment variable:\n");
        text.push_str(&settings());
    }
    text.push_str(
        "\nExit codes: 0 success, 1 failure or invalid input, 2 invalid command line, 3 store not reached.\n",
    );
    text
}

fn settings() -> String {
    let mut text = String::new();
    for setting in NODE {
        let default = setting.default.map_or("required".to_owned(), |default| format!("default {default}"));
        let _ = writeln!(text, "  --{} ({}; {default})", setting.flag, setting.env());
        let _ = writeln!(text, "      {} Allowed: {}.", setting.help, setting.expected);
    }
    text
}

/// Returns the man page.
pub fn man() -> String {
    let mut text = String::from(".TH VALETRACK 1\n.SH NAME\nvaletrack \\- load balancer for many tiny services\n");
    text.push_str(".SH COMMANDS\n");
    for command in COMMANDS {
        let _ = writeln!(text, ".TP\n.B valetrack {} {}", command.words, escape(command.args));
        let _ = writeln!(text, "{}\nExample: {}", escape(command.help), escape(command.example));
    }
    text.push_str(".SH FLAGS\n");
    for (flag, help) in FLAGS {
        let _ = writeln!(text, ".TP\n.B {}\n{}", escape(flag), escape(help));
    }
    text.push_str(".SH SETTINGS\n");
    for setting in NODE {
        let default = setting.default.map_or("Required.".to_owned(), |default| format!("Default: {default}."));
        let _ = writeln!(text, ".TP\n.B \\-\\-{}\n{} {default}", escape(setting.flag), escape(setting.help));
    }
    text
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\e").replace('-', "\\-")
}

/// Returns completions for bash.
pub fn completions() -> String {
    let mut words: Vec<&str> = COMMANDS.iter().flat_map(|command| command.words.split(' ')).collect();
    let flags: Vec<String> = NODE.iter().map(|setting| format!("--{}", setting.flag)).collect();
    words.extend(flags.iter().map(String::as_str));
    words.extend(FLAGS.iter().filter_map(|(flag, _)| flag.split(' ').next()));
    words.sort_unstable();
    words.dedup();
    format!(
        "_valetrack() {{\n    COMPREPLY=($(compgen -W \"{}\" -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n}}\n\
         complete -o default -F _valetrack valetrack\n",
        words.join(" ")
    )
}
