# Bash completion for balsamportctl: source this file, or put it into
# /usr/share/bash-completion/completions/balsamportctl.
_balsamportctl() {
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}
    local commands="check merge diff status explain drain undrain"
    local options="--endpoint --log --json --config --set --help --version"
    local command="" word
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        if [[ " $commands " == *" $word "* ]]; then
            command=$word
            break
        fi
    done
    COMPREPLY=()
    if [[ $previous == --config ]]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
    elif [[ $previous == --log ]]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
    elif [[ $previous == --set ]]; then
        mapfile -t COMPREPLY < <(compgen -W "ctl.timeout-ms= keys.public= keys.secret=" -- "$current")
    elif [[ $previous == --endpoint ]]; then
        mapfile -t COMPREPLY < <(compgen -W "tcp://" -- "$current")
    elif [[ $current == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
    elif [[ -z $command ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current")
    elif [[ $command == check || $command == merge || $command == diff || $command == drain \
        || $command == undrain ]]; then
        mapfile -t COMPREPLY < <(compgen -d -- "$current")
    fi
}
complete -F _balsamportctl balsamportctl
