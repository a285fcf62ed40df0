_valetrack() {
    COMPREPLY=($(compgen -W "--admin --admin-listen --call --call-body-ms --caller-listen --caller-rest-ms --cold-overage --cold-slack --control-listen --dir --domain --domain-cost-us --drain-ms --gossip-ms --help --json --keys --lease-ms --linger-ms --link-advertise --link-listen --list --list-poll-ms --log-level --news-within-ms --operator --platform --policy --retry-ratio --retry-reserve --retry-window-s --seed --server --service --silent-ms --stop-grace-s --store --store-reads-per-s --store-timeout-ms --store-writes-per-s --test-suspension-ms --version --vm approve authority bundle check completions domain evacuate history keys man node return roll settings status timeline write" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _valetrack valetrack
