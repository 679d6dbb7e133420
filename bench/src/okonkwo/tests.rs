use super::DOMAINS;
use super::declaration;
use super::load_workspaces;
use super::set;
use skylarkhook::selector::Selector;

#[test]
fn every_selector_of_the_declaration_was_parsed() {
    let declaration = declaration();
    let limits = declaration.limits.iter().map(|rule| &rule.matches);
    let preferred = declaration.routes.iter().flat_map(|route| &route.prefer);
    for selector in limits.chain(preferred) {
        assert_ne!(selector, &Selector::default());
    }
}

#[test]
fn backend_servers_stand_in_declared_domains() {
    let set = set(2);
    assert_eq!(set.engines.len(), 2 * DOMAINS.len());
    for domain in declaration().domains {
        assert!(
            set.engines
                .iter()
                .any(|engine| engine.domain == domain.name)
        );
        assert!(
            set.services
                .iter()
                .any(|service| service.domain == domain.name)
        );
    }
    assert_eq!(load_workspaces().len(), declaration().workspaces.len());
}
